"""Steps of the shutdown scenarios."""

from __future__ import annotations

import json
import socket
import time

from behave import given, then, when

from features.steps._fleet import start_entry, wait_for_revision
from features.steps.end_to_end_steps import CHAT_PATH, build_prompt


@given("entry VM {number:d} is restarted with a drain of {seconds:d} seconds")
def step_restart(context, number: int, seconds: int) -> None:
    programs = context.programs
    name = f"entry-{number}"
    programs.processes[name].kill()
    programs.processes[name].wait()
    drain = ("--drain-seconds", str(seconds))
    start_entry(programs, number, programs.addresses["log"], *drain)
    programs.wait_until_listening(name)
    wait_for_revision(programs, 2)


@when("a caller streams {tokens:d} tokens from entry VM 1 and the process gets SIGTERM")
def step_stream(context, tokens: int) -> None:
    host, port = context.programs.addresses["entry-1"].split(":")
    body = json.dumps({**build_prompt("ledger", tokens), "stream": True})
    head = f"POST {CHAT_PATH} HTTP/1.0\r\nAuthorization: Bearer {context.key}\r\n"
    context.stream = socket.create_connection((host, int(port)), timeout=20)
    request = f"{head}Content-Length: {len(body)}\r\n\r\n{body}"
    context.stream.sendall(request.encode("ascii"))
    context.received = context.stream.recv(65536)
    context.programs.processes["entry-1"].terminate()
    context.terminated_at = time.monotonic()


@then("a prompt during the drain is answered and the process reports that it leaves")
def step_check_drain(context) -> None:
    status, body = send(context)
    assert status == 200, body
    _, health = context.programs.call("entry-1", "GET", "/healthz")
    assert json.loads(health)["leaving"] is True


@then("a prompt after the drain is refused as shutting_down and not run")
def step_check_refusal(context) -> None:
    time.sleep(max(0.0, context.terminated_at + 2.5 - time.monotonic()))
    status, body = send(context)
    error = json.loads(body)["error"]
    assert (status, error["code"]) == (503, "shutting_down"), body
    assert error["not_run"] is True


@then("the stream has all {tokens:d} tokens")
def step_check_stream(context, tokens: int) -> None:
    while data := context.stream.recv(65536):
        context.received += data
    assert context.received.count(b"\nid: ") == tokens
    assert context.received.endswith(b"data: [DONE]\n\n")


@then("the process has ended with status 0")
def step_check_end(context) -> None:
    assert context.programs.processes["entry-1"].wait(timeout=10) == 0


def send(context) -> tuple[int, bytes]:
    """Send a short prompt."""
    key = f"Bearer {context.key}"
    prompt = build_prompt("ledger", 3)
    return context.programs.call(
        "entry-1", "POST", CHAT_PATH, prompt, Authorization=key
    )
