"""Steps of the scenarios on membership."""

from __future__ import annotations

import contextlib
import http.client
import json
import time
import urllib.request

from behave import given, then, when

from features.steps._mesh_fleet import start_mesh_entry, start_mesh_fleet
from features.steps.end_to_end_steps import CHAT_PATH, build_prompt


@given("a mesh of {entries:d} entry VMs")
def step_start_mesh(context, entries: int) -> None:
    context.key = start_mesh_fleet(context.programs, entries)
    wait_for_vms(context, 1, set(range(1, entries + 1)), 10)


@when("entry VM {number:d} is killed")
def step_kill(context, number: int) -> None:
    context.programs.kill(f"entry-{number}")


@when("entry VM {number:d} is started again")
def step_start_again(context, number: int) -> None:
    start_mesh_entry(context.programs, number, context.programs.mesh_ports)


@when("entry VM {number:d} loses its connection to the log")
def step_cut_off(context, number: int) -> None:
    context.programs.kill(f"link-{number}")


@when("an operator withdraws the key and issues another at entry VM {number:d}")
def step_change_keys(context, number: int) -> None:
    programs, name = context.programs, f"operators-{number}"
    programs.call(name, "POST", "/v1/withdrawals", {"key": context.key})
    _, body = programs.call(name, "POST", "/v1/keys", {"customer": "market"})
    context.old_key, context.key = context.key, json.loads(body)["key"]


@when("{seconds:d} seconds pass")
def step_wait(context, seconds: int) -> None:
    time.sleep(seconds)


@when("a caller opens a stream of {tokens:d} tokens at entry VM {number:d}")
def step_open_stream(context, tokens: int, number: int) -> None:
    body = {**build_prompt("ledger", tokens), "stream": True}
    request = urllib.request.Request(
        f"http://{context.programs.addresses[f'entry-{number}']}{CHAT_PATH}",
        json.dumps(body).encode("utf-8"),
        {"Authorization": f"Bearer {context.key}"},
    )
    context.stream = urllib.request.urlopen(request, timeout=60)


@then("the stream has been aborted")
def step_check_stream(context) -> None:
    started = time.monotonic()
    data = b""
    with contextlib.suppress(http.client.IncompleteRead, ConnectionError):
        data = context.stream.read()
    # A stream that is not aborted takes 30 s and ends with [DONE].
    assert time.monotonic() - started < 2
    assert b"[DONE]" not in data


@then("entry VM {number:d} lists the entry VMs {vms} within {seconds:d} s")
def step_check_answers(context, number: int, vms: str, seconds: int) -> None:
    wait_for_vms(context, number, {int(vm) for vm in vms.split(",")}, seconds)


@then("entry VM {number:d} serves the new key and refuses the old one")
def step_check_keys(context, number: int) -> None:
    status, body = send_prompt(context, number, context.key)
    assert status == 200, body
    status, body = send_prompt(context, number, context.old_key)
    assert status == 401, body


@then("entry VM {number:d} refuses with no_permit and reports not run")
def step_check_no_permit(context, number: int) -> None:
    status, body = send_prompt(context, number, context.key)
    error = json.loads(body)["error"]
    assert (status, error["code"], error["not_run"]) == (503, "no_permit", True), body


def send_prompt(context, number: int, key: str) -> tuple[int, bytes]:
    """Send a prompt to an entry VM."""
    return context.programs.call(
        f"entry-{number}",
        "POST",
        CHAT_PATH,
        build_prompt("ledger", 5),
        Authorization=f"Bearer {key}",
    )


def wait_for_vms(context, number: int, expected: set[int], seconds: float) -> None:
    """Wait until an entry VM lists exactly the expected entry VMs."""
    deadline = time.monotonic() + seconds
    found: set[int] = set()
    while time.monotonic() < deadline:
        _, body = context.programs.call(f"entry-{number}", "GET", "/v1/addresses")
        hosts = [text.rpartition(":")[0] for text in json.loads(body)["addresses"]]
        found = {int(host.rpartition(".")[2]) for host in hosts}
        if found == expected:
            return
        time.sleep(0.1)
    raise AssertionError(f"entry VM {number} lists {found}, not {expected}")
