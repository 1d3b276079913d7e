"""Steps of the scenarios on log lines and metrics."""

from __future__ import annotations

import json
import pathlib
import socket
import tempfile
import time

from behave import given, then, when

from features.steps.end_to_end_steps import (
    CHAT_PATH,
    build_prompt,
    step_start_fleet,
)

MARKER = "marked-0f3a"
LINE_TIMEOUT_SECONDS = 5.0


@given("a fleet with {entries:d} entry VMs whose log lines and metrics are recorded")
def step_start_kept(context, entries: int) -> None:
    context.statsd = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.statsd.bind(("127.0.0.1", 0))
    context.statsd.settimeout(5)
    context.add_cleanup(context.statsd.close)
    port = context.statsd.getsockname()[1]
    context.programs.environment = {"WISTERIAGW_STATSD": f"127.0.0.1:{port}"}
    start_with_log_file(context, entries)


@given("a fleet with {entries:d} entry VMs that logs from level {level}")
def step_start_level(context, entries: int, level: str) -> None:
    context.programs.environment = {"WISTERIAGW_LOG_LEVEL": level}
    start_with_log_file(context, entries)


def start_with_log_file(context, entries: int) -> None:
    """Start a fleet whose programs write their log lines to one file."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.log_path = pathlib.Path(folder.name) / "lines"
    context.programs.log_file = context.log_path.open("ab")
    context.add_cleanup(context.programs.log_file.close)
    step_start_fleet(context, entries)


@when("a caller sends requests with markers in keys, prompts and bodies")
def step_send_marked(context) -> None:
    prompt = build_prompt("ledger", 7)
    prompt["messages"][0]["content"] = f"{MARKER} how many visitors?"
    requests = {
        "stream": (CHAT_PATH, {**prompt, "stream": True}, context.key, 200),
        "no stream": (CHAT_PATH, prompt, context.key, 200),
        "service call": (
            "/v1/services/levy/adjustments",
            {"account": MARKER},
            context.key,
            200,
        ),
        "wrong key": (CHAT_PATH, prompt, f"key-{MARKER}", 401),
        "other service": (
            f"/v1/services/{MARKER}/x?q={MARKER}",
            {"text": MARKER},
            context.key,
            404,
        ),
    }
    for row in context.table:
        path, body, key, expected = requests[row["request"]]
        status, answer = context.programs.call(
            "entry-1", "POST", path, body, Authorization=f"Bearer {key}"
        )
        assert status == expected, (row["request"], status, answer)


def read_request_lines(context) -> list[dict]:
    """Return the log lines of requests, except the scenario's own health checks."""
    lines = [json.loads(line) for line in context.log_path.read_bytes().splitlines()]
    return [
        line
        for line in lines
        if line.get("message_type") == "wisteriagw:request"
        and line["route"] != "/healthz"
    ]


@then("the log lines of the requests are")
def step_check_lines(context) -> None:
    deadline = time.monotonic() + LINE_TIMEOUT_SECONDS
    expected = [row.as_dict() for row in context.table]
    while len(read_request_lines(context)) < len(expected):
        assert time.monotonic() < deadline, read_request_lines(context)
        time.sleep(0.05)
    lines = read_request_lines(context)
    found = [{name: str(line[name]) for name in expected[0]} for line in lines]
    assert found == expected, found
    assert all(line["request_id"] for line in lines), lines
    assert lines[0]["first_token_seconds"] <= lines[0]["seconds"], lines[0]


@then("no log line contains a marker")
def step_check_marks(context) -> None:
    text = context.log_path.read_text(encoding="utf-8")
    assert MARKER not in text
    assert context.key not in text


@then("the metrics {names} arrive")
def step_check_metrics(context, names: str) -> None:
    missing = set(names.replace(" and ", ", ").split(", "))
    while missing:
        name = context.statsd.recv(2000).decode().partition(":")[0]
        assert name.startswith("wisteriagw.entry.vm-1."), name
        missing.discard(name.removeprefix("wisteriagw.entry.vm-1."))


@then("the status of entry VM {number:d} reports that it serves")
def step_check_status(context, number: int) -> None:
    code, body = context.programs.call(f"operators-{number}", "GET", "/status")
    status = json.loads(body)
    assert (code, status["serves"], status["permit"]) == (200, True, "log"), body
    assert status["open_requests"] == 0, body
    assert status["data_centre"] == f"dc{number}", body


@then("no log line of a request is written")
def step_check_no_lines(context) -> None:
    assert read_request_lines(context) == []
