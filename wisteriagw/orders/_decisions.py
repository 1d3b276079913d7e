"""Decisions on the next step of an order."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.orders._change_role import ChangeRole
from wisteriagw.orders._engine_state import EngineState  # noqa: TC001
from wisteriagw.orders._load_adapter import LoadAdapter
from wisteriagw.orders._load_model import LoadModel
from wisteriagw.orders._load_version import LoadVersion
from wisteriagw.orders._order_step import OrderStep

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.orders._listed_order import ListedOrder
    from wisteriagw.orders._order_backend_server import OrderBackendServer
    from wisteriagw.orders._receiver_view import ReceiverView

# An order that an earlier holder sent just before its end may still be in transit to
# the receiver.
HANDOVER_GRACE_SECONDS = 2.0
MAX_STATE_AGE_SECONDS = 1.0
# A call to the backend server interface may time out while the order is still queued
# there; the order is sent again, with the same id, only after this time.
RESEND_SECONDS = 30.0


def decide_engine_order(
    order: Any, state: EngineState | None, view: ReceiverView, now: float
) -> OrderStep:
    """Return the next step of an order to an engine."""
    blocked = check_receiver(view, now)
    if blocked is not None:
        return blocked
    if state is None:
        return OrderStep("read", "the state was never read")
    if state.changing:
        return OrderStep("wait", f"order {state.last_order_id} is in progress")
    if is_satisfied(order, state):
        return OrderStep("done", "the state is as ordered")
    return OrderStep("send", "the state differs from the order")


def decide_backend_server_order(
    order: OrderBackendServer,
    order_id: str | None,
    listed: Iterable[ListedOrder],
    view: ReceiverView,
    now: float,
) -> OrderStep:
    """Return the next step of an order for a backend server.

    Parameters
    ----------
    order : OrderBackendServer
        The order.
    order_id : str or None
        Id that the log holds for the need.
    listed : iterable of ListedOrder
        Orders of the backend server interface as last read.
    view : ReceiverView
        What is known of the interface.
    now : float
        The time in seconds.
    """
    blocked = check_receiver(view, now)
    if blocked is not None:
        return blocked
    for listed_order in listed:
        # The need is compared too: its record may no longer be in the log.
        if listed_order.order_id == order_id or listed_order.need == order.need:
            return OrderStep(
                "done", f"order {listed_order.order_id} is {listed_order.state}"
            )
    if order_id is None:
        return OrderStep("intend", "the log holds no order id for the need")
    if now - view.sent_at < RESEND_SECONDS:
        return OrderStep("wait", "the last order may still take effect")
    return OrderStep("send", "the interface does not list the order")


def find_settled_orders(
    intents: dict[str, str], listed: Iterable[ListedOrder]
) -> list[ListedOrder]:
    """Return the listed orders that have ended and whose ids the log still holds."""
    settled = []
    for listed_order in listed:
        if listed_order.state not in ("reclaimed", "given_back"):
            continue
        if intents.get(listed_order.need) == listed_order.order_id:
            settled.append(listed_order)
    return settled


@singledispatch
def is_satisfied(order: Any, state: EngineState) -> bool:
    """Return whether the state of an engine satisfies an order."""
    raise TypeError(f"{type(order).__name__} is not an order to an engine")


@is_satisfied.register
def _(order: ChangeRole, state: EngineState) -> bool:
    return state.role == order.role


@is_satisfied.register
def _(order: LoadModel, state: EngineState) -> bool:
    return (state.model, state.version) == (order.model, order.version)


@is_satisfied.register
def _(order: LoadVersion, state: EngineState) -> bool:
    return state.version == order.version


@is_satisfied.register
def _(order: LoadAdapter, state: EngineState) -> bool:
    return order.adapter in state.adapters


def check_receiver(view: ReceiverView, now: float) -> OrderStep | None:
    """Return the step that must precede any order to a receiver, or None."""
    if view.fencing_number is None:
        return OrderStep("wait", "this process does not hold the authority")
    known_since = max(view.granted_at, view.sent_at)
    if not view.checks_fencing:
        if view.unproved:
            return OrderStep("wait", "the end of an earlier holder is not proved")
        if now < view.proved_at + HANDOVER_GRACE_SECONDS:
            return OrderStep("wait", "orders of an earlier holder may still arrive")
        known_since = max(known_since, view.proved_at + HANDOVER_GRACE_SECONDS)
    if view.read_at <= known_since:
        return OrderStep("read", "the state was last read before it may have changed")
    if now - view.read_at > MAX_STATE_AGE_SECONDS:
        return OrderStep("read", "the state is too old")
    return None
