"""Step definitions for backend servers that break the protocol."""

from __future__ import annotations

import json
import pathlib
import time
import urllib.error
import urllib.request
from itertools import count

from behave import given, then, when

from features.steps._faulty_server import FaultyServer
from tests.soak._fleet import CUSTOMERS
from wisteriagw.standins._store_server import encode_record

DEADLINE_MS = 2_000
NOTICE_SECONDS = 3.0
# Serves as a number of each request of the scenario.
NUMBERS = count(1)


def call(context, fault: str) -> tuple[int, bytes, str]:
    """Send a request that may not be repeated; return status, body and its id."""
    request_id = f"r{next(NUMBERS)}"
    address = context.programs.addresses["front"]
    request = urllib.request.Request(
        f"http://{address}/unsafe/{fault.replace(' ', '_')}",
        b"body",
        {
            "Host": "a.example",
            "X-Wisteriagw-Request-Id": request_id,
            "X-Wisteriagw-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Token k-{CUSTOMERS[0]}",
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, response.read(), request_id
    except urllib.error.HTTPError as error:
        return error.code, error.read(), request_id


def read_memory_kb(context) -> int:
    """Return the resident memory of the gateway in KiB."""
    process = context.programs.processes["gateway"]
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


@given("a backend server that breaks the protocol as its requests say")
def step_register(context) -> None:
    context.server = FaultyServer()
    context.add_cleanup(context.server.close)
    platform = context.programs.addresses["platform"]
    fields = {
        "service": "desk",
        "address": context.server.address,
        "zone": "north",
        "slots": 16,
        "state": "ready",
        "born": 1,
    }
    record = encode_record("desk-faulty", json.dumps(fields).encode(), True)
    for path, body in (
        ("/log-append?topic=keyed.servers&part=0", record),
        ("/faults", json.dumps({"gone": ["desk-1", "desk-2"]}).encode()),
    ):
        request = urllib.request.Request(f"http://{platform}{path}", body)
        urllib.request.urlopen(request, timeout=10).close()
    deadline = time.monotonic() + NOTICE_SECONDS
    while not call(context, "none")[1].startswith(b"answer to"):
        assert time.monotonic() < deadline, "the server got no request in time"
        time.sleep(0.05)


@when("each of these repeated answers is followed by a request, {times:d} times")
def step_send_twice(context, times: int) -> None:
    context.answers = []
    for row in context.table:
        for _ in range(times):
            context.answers.append((row[0], *call(context, row[0])))
            context.answers.append((row[0], *call(context, "none")))


@then("each request gets its own answer")
def step_own_answers(context) -> None:
    others = [
        answer
        for answer in context.answers
        if answer[1:3] != (200, f"answer to {answer[3]}".encode())
    ]
    assert not others, others


@when("requests get these answers")
def step_break_off(context) -> None:
    context.answers = [(row[0], *call(context, row[0])) for row in context.table]


@then("each caller gets status 502")
def step_bad_gateway(context) -> None:
    assert all(answer[1] == 502 for answer in context.answers), context.answers


@when("requests get these answers without end, each followed by another request")
def step_endless(context) -> None:
    context.memory_kb = read_memory_kb(context)
    context.answers, context.seconds = [], []
    context.others, context.closed = [], []
    for row in context.table:
        started = time.monotonic()
        context.answers.append((row[0], *call(context, row[0])))
        context.seconds.append(time.monotonic() - started)
        context.others.append(call(context, "none"))
        context.closed.append(wait_for_close(context.server))


def wait_for_close(server: FaultyServer) -> bool:
    """Return whether the gateway closes the connection of an endless answer in time."""
    deadline = time.monotonic() + NOTICE_SECONDS
    while not server.closed_by_peer and time.monotonic() < deadline:
        time.sleep(0.05)
    return server.closed_by_peer


@then("each caller gets its own answer or status 502 or 504 within {seconds:d} s")
def step_true_answers(context, seconds: int) -> None:
    # The bytes after a whole answer belong to no request.
    true = [(200, b"x" * 9)]
    for name, status, body, _ in context.answers:
        assert status in (502, 504) or (status, body) in true, (name, status, body)
    assert max(context.seconds) < seconds, context.seconds


@then("each other request is served")
def step_served(context) -> None:
    for status, body, request_id in context.others:
        assert (status, body) == (200, f"answer to {request_id}".encode())


@then("the gateway has closed the connections and takes under {limit:d} MB more")
def step_bounded(context, limit: int) -> None:
    assert all(context.closed), context.closed
    taken = read_memory_kb(context) - context.memory_kb
    assert taken < limit * 1024, f"{taken} KiB"
