"""Steps of the scenarios on the backend server interface stand-in."""

from __future__ import annotations

import contextlib
import http.client
import json
import time

from behave import given, then, when

ORDER = {"order_id": "o-1", "need": "n", "data_centre": "dc1", "serves": "m"}


@given("the backend server interface with the fault {fault}")
def step_start_interface(context, fault: str) -> None:
    listen = context.programs.reserve("backends")
    context.programs.start(
        "backends", "wisteriagw-standin-backends", "--listen", listen
    )
    context.programs.wait_until_listening("backends")
    set_fault(context, json.loads(fault))


@when("a {kind} backend server is ordered twice with one order id")
def step_order_twice(context, kind: str) -> None:
    order = {**ORDER, "reclaimable": kind == "reclaimable"}
    for _ in range(2):
        with contextlib.suppress(OSError, http.client.HTTPException):
            context.programs.call("backends", "POST", "/orders", order)


@then("the interface lists {count:d} orders after {seconds:d} seconds")
def step_check_orders(context, count: int, seconds: int) -> None:
    time.sleep(seconds)
    set_fault(context, {})
    orders = json.loads(context.programs.call("backends", "GET", "/orders")[1])
    assert len(orders) == count, orders


def set_fault(context, fault: dict) -> None:
    """Switch the faults of the interface."""
    status, _ = context.programs.call("backends", "POST", "/faults", fault)
    assert status == 200
