"""A stream goes on at a second worker while the first one still works on it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from review.support.case import run_case
from review.support.operator import TENANTS, build_configuration, build_route

if TYPE_CHECKING:
    from review.support.case import Case

ZONES = ["suva-central", "nasinu"]
# The rule: "still works on it 400 ms later".
OVERLAP_SECONDS = 0.4
STREAMS = 20
DEADLINE_MS = 4000
PROMPT = {
    "X-Wisteriagw-Model": "m",
    "X-Wisteriagw-Token-Count": "383,20",
    "X-Wisteriagw-Prompt-Prefix": "5c1e07a2:92,91bd3f06:291",
}


async def play(case: Case) -> bool:
    """Let one worker lose the answers of a few streams that it runs to their end."""
    route = build_route("ask", "stream", "footfall-lm")
    case.platform.put(
        "keyed.op", "config", build_configuration([route], ("footfall-lm",))
    )
    for number, zone in enumerate((*ZONES, *ZONES), 1):
        lost = (
            ["--resets", "1", "--reset-after", "6"]
            if case.trouble and number == 1
            else []
        )
        await case.start_worker(
            f"i-{number:010x}",
            "footfall-lm",
            zone,
            "--events",
            "20",
            "--gap",
            "0.1",
            *lost,
            stage="decode",
        )
    await case.gateways.start_all()
    # Beyond contact_ms after the start, so that all machines are in touch.
    await asyncio.sleep(4.0)
    sending = []
    for number in range(STREAMS):
        machine = case.gateways.machines[number % len(ZONES)]
        sending.append(asyncio.create_task(send(case, machine.front, number)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*sending)
    await asyncio.sleep(2.0)
    return check(case)


async def send(case: Case, front: tuple[str, int], number: int) -> None:
    """Send one stream and record its answer."""
    headers = {**PROMPT, "X-Wisteriagw-Prompt-Prefix": f"5c1e07a2:92,{number:08x}:291"}
    request_id, answer = await case.send(
        front, "/ask/x", TENANTS[0], DEADLINE_MS, headers
    )
    case.write(
        f"request {request_id}: status {answer.status}, "
        f"{answer.body.count(b'id: ')} events, complete: {answer.complete}"
    )


def check(case: Case) -> bool:
    """Return whether two workers worked on one request for longer than allowed."""
    runs: dict[str, dict[str, list[dict[str, Any]]]] = {}
    for worker in case.workers:
        for line in worker.lines:
            if line["what"] in ("begins", "event", "ends"):
                case.write_at(line["at"], f"worker {worker.name}: {line}")
                found = runs.setdefault(line["request"], {})
                found.setdefault(worker.name, []).append(line)
    broken = False
    for request_id, workers in runs.items():
        spans = sorted((lines[0]["at"], lines[-1]["at"]) for lines in workers.values())
        for (_, former_end), (next_begin, _) in zip(spans, spans[1:], strict=False):
            if former_end - next_begin < OVERLAP_SECONDS:
                continue
            broken = True
            case.write(
                f"request {request_id} went on at a second worker while the first one "
                f"worked on it for {former_end - next_begin:.2f} s more"
            )
    return broken


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
