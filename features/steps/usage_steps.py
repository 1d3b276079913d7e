"""Steps of the scenarios on usage."""

from __future__ import annotations

import http.client
import json
import time
from collections import Counter

import cbor2
from behave import given, then, when

from features.steps._admin import run_admin
from features.steps._mesh_fleet import start_mesh_fleet
from features.steps.end_to_end_steps import CHAT_PATH, build_prompt
from wisteriagw.records import LeaseRelease, decode_record

WINDOW_SECONDS = 2
REPORT_TIMEOUT_SECONDS = 25.0
STOP_TIMEOUT_SECONDS = 10.0
# Two partials of 0.5 s each, and the time until a peer confirms its copy.
USAGE_COPY_SECONDS = 1.5
FIGURES = ("prompt_tokens", "cached_tokens", "generated_tokens")
WINDOW_OPTION = f"--usage-window-seconds={WINDOW_SECONDS}"
DRAIN_OPTION = "--drain-seconds=1"


@given("a mesh of {entries:d} entry VMs that count usage, and usage processes on 2 VMs")
def step_start(context, entries: int) -> None:
    programs = context.programs
    programs.start(
        "usage", "wisteriagw-standin-usage", "--listen", programs.reserve("usage")
    )
    context.key = start_mesh_fleet(programs, entries, WINDOW_OPTION, DRAIN_OPTION)
    addresses = programs.addresses
    for number in (1, 2):
        name = f"reporter-{number}"
        set_vm(context, number)
        programs.start(
            name,
            "wisteriagw-usage",
            *("--vm", f"vm-{name}", "--listen", programs.reserve(name)),
            *("--log", addresses["log"], "--vm-list", addresses["vms"]),
            *("--usage-interface", addresses["usage"], WINDOW_OPTION),
            *("--usage-grace-seconds", "2"),
        )
        programs.wait_until_listening(name)


@given("the usage interface loses its next {replies:d} replies")
def step_lose_replies(context, replies: int) -> None:
    context.programs.call("usage", "POST", "/faults", {"lost_replies": replies})


@when("callers send requests through entry VMs {first:d} and {second:d}")
def step_work(context, first: int, second: int) -> None:
    for number in (first, second):
        for tokens in (3, 7):
            status, body = call_entry(
                context, number, "POST", CHAT_PATH, build_prompt("ledger", tokens)
            )
            assert status == 200, body
        for method, path in (("GET", "sheets/1"), ("POST", "adjustments/1")):
            body = {"entry": number} if method == "POST" else None
            status, body = call_entry(
                context, number, method, f"/v1/services/levy/{path}", body
            )
            assert status == 200, body
    status, _ = call_entry(
        context, first, "POST", CHAT_PATH, build_prompt("unknown", 5)
    )
    assert status == 404


@when("a caller of entry VM {number:d} disconnects before its answer")
def step_leave(context, number: int) -> None:
    connection = open_chat(context, number, {**build_prompt("ledger", 3000)})
    time.sleep(0.3)
    connection.close()


@when("entry VM {first:d} is killed during a stream that entry VM {second:d} resumes")
def step_resume(context, first: int, second: int) -> None:
    body = {**build_prompt("ledger", 400), "stream": True}
    connection = open_chat(context, first, body)
    response = connection.getresponse()
    assert response.readline().startswith(b"id: 0")
    handle = response.getheader("wisteriagw-request")
    time.sleep(USAGE_COPY_SECONDS)
    context.programs.kill(f"entry-{first}")
    connection.close()
    headers = {"Last-Event-ID": "0"}
    path = f"/v1/requests/{handle}"
    status, rest = call_entry(context, second, "GET", path, **headers)
    assert status == 200, rest
    assert b"id: 399" in rest
    assert rest.endswith(b"[DONE]\n\n")


@when("the process that reports usage is killed and its VM leaves the VM list")
def step_kill_holder(context) -> None:
    holders = [
        number
        for number in (1, 2)
        if read_json(context, f"reporter-{number}", "/status")["holds_authority"]
    ]
    assert len(holders) == 1, holders
    context.programs.kill(f"reporter-{holders[0]}")
    context.successor = f"reporter-{3 - holders[0]}"
    set_vm(context, holders[0], removed=True)
    context.first_reports = len(read_json(context, "usage", "/reports")["reports"])


@when("entry VM {number:d} is asked to stop")
def step_stop_entry(context, number: int) -> None:
    stop_gracefully(context, f"entry-{number}")


@when("the other usage process is asked to stop")
def step_stop_reporter(context) -> None:
    stop_gracefully(context, context.successor)


@then("it releases its authority")
def step_check_release(context) -> None:
    _, body = context.programs.call("log", "GET", "/streams/leases")
    record = decode_record(cbor2.loads(body)["records"][-1][1])
    assert isinstance(record, LeaseRelease), record
    assert record.vm == f"vm-{context.successor}", record


@then("windows are reported")
def step_check_reported(context) -> None:
    deadline = time.monotonic() + REPORT_TIMEOUT_SECONDS
    while not read_json(context, "usage", "/reports")["reports"]:
        assert time.monotonic() < deadline, "no window was reported"
        time.sleep(0.1)


@then("within {seconds:d} s the reported usage equals the work that was done")
def step_check_sum(context, seconds: int) -> None:
    deadline = time.monotonic() + seconds
    while True:
        work, reported = read_work(context), read_reported(context)
        if work == reported:
            break
        assert time.monotonic() < deadline, f"{reported} reported of {work}"
        time.sleep(0.2)
    reports = read_json(context, "usage", "/reports")["reports"]
    assert len(reports) > context.first_reports > 0, "both processes must report"


@then("no window was reported with different figures")
def step_check_conflicts(context) -> None:
    assert read_json(context, "usage", "/reports")["conflicts"] == []


@then("entry VM {number:d} lists the records of entry VM 1 for the customer {name}")
def step_check_admin(context, number: int, name: str) -> None:
    reports = read_json(context, "usage", "/reports")["reports"]
    found = set()
    for report in reports:
        arguments = ("usage", name, "--window", str(report["window"]))
        code, output, errors = run_admin(
            context.programs, number, "ann", "--json", *arguments
        )
        assert code == 0, errors
        answer = json.loads(output)
        rows = [[name, row["belongs_to"], *row["figures"]] for row in answer["rows"]]
        assert rows == report["rows"], (rows, report)
        assert answer["reported"], answer
        found |= {record["vm"] for record in answer["records"]}
    assert "vm-1" in found, found


def stop_gracefully(context, name: str) -> None:
    """Send SIGTERM to a process and wait until it has ended."""
    process = context.programs.processes.pop(name)
    process.terminate()
    try:
        process.wait(STOP_TIMEOUT_SECONDS)
    finally:
        process.kill()
        process.wait()


def set_vm(context, number: int, **fields: bool) -> None:
    """Add the VM of a usage process to the VM list, or change its entry."""
    vm = {
        "name": f"vm-reporter-{number}",
        "data_centre": "dc1",
        "host": "127.0.0.1",
        "leaving": False,
        "role": "other",
    }
    context.programs.call("vms", "POST", "/vms", {**vm, **fields})


def call_entry(
    context, number: int, method: str, path: str, body=None, **headers: str
) -> tuple[int, bytes]:
    """Send a caller's request to an entry VM."""
    headers = {"Authorization": f"Bearer {context.key}", **headers}
    return context.programs.call(f"entry-{number}", method, path, body, **headers)


def open_chat(context, number: int, body: dict) -> http.client.HTTPConnection:
    """Send a prompt and return the connection before the answer is read."""
    address = context.programs.addresses[f"entry-{number}"]
    connection = http.client.HTTPConnection(address, timeout=20)
    headers = {"Authorization": f"Bearer {context.key}"}
    connection.request("POST", CHAT_PATH, json.dumps(body), headers)
    return connection


def read_json(context, name: str, path: str):
    """Return a JSON document from a program."""
    return json.loads(context.programs.call(name, "GET", path)[1])


def read_work(context) -> Counter:
    """Return the work that the engine and the service did for the customer."""
    total: Counter = Counter()
    for done in read_json(context, "engine", "/work"):
        assert done["customer"] == "market", done
        total.update({name: done[name] for name in FIGURES})
    total["service_calls"] = read_json(context, "service", "/work")["market"]
    return total


def read_reported(context) -> Counter:
    """Return the sum of all reports."""
    total: Counter = Counter()
    for report in read_json(context, "usage", "/reports")["reports"]:
        for _, _, *figures in report["rows"]:
            total.update(dict(zip((*FIGURES, "service_calls"), figures, strict=True)))
    return total
