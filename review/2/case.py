"""One worker that sends bytes without end stops a machine for seconds."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from review.support.case import CaseError, run_case
from review.support.operator import TENANTS, build_configuration, build_route

if TYPE_CHECKING:
    from review.support.case import Case
    from review.support.wire import Answer

ZONES = ["suva-central", "nasinu"]
# Streams of the faulty worker that do not end, of all that it gets.
ENDLESS_STREAMS = 8
CALL_TIMEOUT = 1.0
# The rule: "more than half have no answer half a second later".
LATE_SECONDS = 0.5
SECONDS = 20.0
CALL_GAP_SECONDS = 0.05
STREAM_GAP_SECONDS = 0.15
# A consumer that waits for longer than its time budget, to see when the answer comes.
PATIENCE_MS = 12_000
SUBJECTS = 1372
PROMPT = {
    "X-Wisteriagw-Model": "m",
    "X-Wisteriagw-Token-Count": "383,8",
}


async def play(case: Case) -> bool:
    """Send calls and streams while one of six engines sends bytes without end."""
    routes = [
        build_route("desk", "unsafe", "tenant-desk"),
        build_route("ask", "stream", "footfall-lm"),
    ]
    case.platform.put(
        "keyed.op", "config", build_configuration(routes, ("footfall-lm",))
    )
    for number in range(1, 5):
        zone = ZONES[number % len(ZONES)]
        await case.start_worker(f"i-{number:010x}", "tenant-desk", zone)
    for number in range(5, 11):
        count = ENDLESS_STREAMS if case.trouble and number == 5 else 0
        await case.start_worker(
            f"i-{number:010x}",
            "footfall-lm",
            ZONES[number % len(ZONES)],
            "--gap",
            "0.02",
            "--endless",
            str(count),
            stage="decode",
        )
    await case.gateways.start_all()
    # Beyond contact_ms after the start, so that all machines are in touch.
    await asyncio.sleep(4.0)
    calls = asyncio.create_task(send_all(case, "desk", CALL_GAP_SECONDS))
    streams = asyncio.create_task(send_all(case, "ask", STREAM_GAP_SECONDS))
    answers = await calls
    await streams
    return check(case, answers)


async def send_all(
    case: Case, route: str, gap: float
) -> list[tuple[str, str, float, Answer]]:
    """Send requests of a route to the machines in turn; return the answers."""
    sending = []
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        machine = case.gateways.machines[len(sending) % len(ZONES)]
        sending.append(
            asyncio.create_task(
                send(case, machine.name, machine.front, route, len(sending))
            )
        )
        await asyncio.sleep(gap)
    return list(await asyncio.gather(*sending))


async def send(
    case: Case, machine: str, front: tuple[str, int], route: str, number: int
) -> tuple[str, str, float, Answer]:
    """Send one request; return machine, id, time of sending and answer."""
    sent_at = time.monotonic()
    headers = {}
    if route == "ask":
        # Requests on a subject share the first part, the last is the request's own; the
        # site has 1,372 subjects ("things") for this kind.
        prefix = f"5c1e{number % SUBJECTS:04x}:92,{number:08x}:291"
        headers = {**PROMPT, "X-Wisteriagw-Prompt-Prefix": prefix}
    request_id, answer = await case.send(
        front, f"/{route}/x", TENANTS[0], PATIENCE_MS, headers
    )
    return machine, request_id, sent_at, answer


def check(case: Case, answers: list[tuple[str, str, float, Answer]]) -> bool:
    """Return whether most calls that were open at their timeout were not ended."""
    if not answers:
        raise CaseError("no call was sent")
    for worker in case.workers:
        for line in worker.lines:
            if line["what"] == "closed by the caller":
                case.write_at(line["at"], f"worker {worker.name}: {line}")
    unanswered, late = 0, 0
    for machine, request_id, sent_at, answer in answers:
        seconds = answer.seconds if answer.complete else float("inf")
        if seconds <= CALL_TIMEOUT:
            continue
        unanswered += 1
        late += seconds > CALL_TIMEOUT + LATE_SECONDS
        case.write_at(
            sent_at,
            f"call {request_id} to {machine}: status {answer.status} after "
            f"{seconds:.2f} s",
        )
    case.write(
        f"{len(answers)} calls with a timeout of {CALL_TIMEOUT} s: {unanswered} had no "
        f"answer then, {late} none {LATE_SECONDS} s later; the longest took "
        f"{max(answer.seconds for *_, answer in answers):.2f} s"
    )
    return late > unanswered / 2


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
