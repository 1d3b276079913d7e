"""Step definitions for engines that end under a prompt part."""

from __future__ import annotations

import json
import time
import urllib.error
import urllib.request
from itertools import count

from behave import given, then, when

from features.steps._crashing_engine import EVENT, CrashingEngine
from tests.soak._fleet import CUSTOMERS
from wisteriagw.standins._store_server import encode_record

BAD_PART = b"deadbeef"
PAUSE_SECONDS = 0.4
NOTICE_SECONDS = 5.0
NUMBERS = count(1)


def register(context, engine: CrashingEngine) -> None:
    """Register an engine that has started."""
    fields = {
        "service": "lm",
        "address": engine.address,
        "zone": "north",
        "slots": 16,
        "state": "ready",
        "stage": "decode",
        "born": len(engine.crashed_at) + 1,
    }
    port = engine.address.rpartition(":")[2]
    record = encode_record(f"lm-{port}", json.dumps(fields).encode(), True)
    post(context, "/log-append?topic=keyed.servers&part=0", record)


def post(context, path: str, body: bytes) -> None:
    """Send a call to the platform stand-in."""
    platform = context.programs.addresses["platform"]
    request = urllib.request.Request(f"http://{platform}{path}", body)
    urllib.request.urlopen(request, timeout=10).close()


def list_crashes(context) -> list[float]:
    """Return the times at which engines have ended."""
    return sorted(at for engine in context.engines for at in engine.crashed_at)


def send_prompt(context, parts: str) -> tuple[int, bytes]:
    """Send a prompt with some parts; return status and body."""
    headers = {
        "Host": "a.example",
        "X-Wisteriagw-Request-Id": f"p{next(NUMBERS)}",
        "X-Wisteriagw-Deadline-Ms": "3000",
        "X-Wisteriagw-Model": "m",
        "X-Wisteriagw-Token-Count": "300,20",
        "X-Wisteriagw-Prompt-Prefix": parts,
        "Authorization": f"Token k-{CUSTOMERS[0]}",
    }
    address = context.programs.addresses["front"]
    request = urllib.request.Request(f"http://{address}/long/x", b"body", headers)
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


@given("{number:d} engines that end under a prompt part")
def step_engines(context, number: int) -> None:
    post(
        context,
        "/faults",
        json.dumps({"gone": ["reader-1", "engine-1", "engine-2"]}).encode(),
    )
    context.engines = []
    for _ in range(number):
        engine = CrashingEngine(BAD_PART, lambda one: register(context, one))
        context.engines.append(engine)
        context.add_cleanup(engine.close)
    deadline = time.monotonic() + NOTICE_SECONDS
    while send_prompt(context, "aa:100,own:200") != (200, EVENT):
        assert time.monotonic() < deadline, "the engines got no request in time"
        time.sleep(0.1)


@when("{number:d} prompts with the part and as many without it are sent in turn")
def step_send(context, number: int) -> None:
    context.bad, context.sound = [], []
    for _ in range(number):
        bad = f"aa:100,{BAD_PART.decode()}:100,own:100"
        context.bad.append(send_prompt(context, bad))
        sent_at = time.monotonic()
        context.sound.append((sent_at, send_prompt(context, "aa:100,own:200")))
        time.sleep(PAUSE_SECONDS)
    context.sent_at = time.monotonic()


@then("at most {number:d} engines end later than {wait:d} s after the fifth")
def step_ended(context, number: int, wait: int) -> None:
    times = list_crashes(context)
    assert times, "no engine has ended"
    assert context.sent_at > times[:5][-1] + wait, "the prompts ended too early"
    later = [at for at in times[5:] if at > times[4] + wait]
    assert len(later) <= number, times


@then("each prompt without the part is served from {wait:d} s after the fifth on")
def step_served(context, wait: int) -> None:
    fifth = list_crashes(context)[:5][-1]
    answers = [answer for at, answer in context.sound if at > fifth + wait]
    assert answers, "the prompts ended too early"
    assert all(answer == (200, EVENT) for answer in answers), answers


@then("the last {number:d} prompts with the part are refused as not run")
def step_refused(context, number: int) -> None:
    assert all(answer[0] == 503 for answer in context.bad[-number:]), context.bad
