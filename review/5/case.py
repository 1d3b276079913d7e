"""Streams begin at a worker after their consumers have left."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from review.support.case import CaseError, run_case
from review.support.dark_address import DarkAddress
from review.support.operator import HOST, build_configuration
from review.support.operator import build_route as build

if TYPE_CHECKING:
    from review.support.case import Case

ZONES = ["suva-central", "nasinu"]
STREAMS = 48
EVENTS = 20
GAP_SECONDS = 0.1
# Half of the objective of 600 ms.
PATIENCE_SECONDS = 0.3
# "share" of `give_up`: at most so many consumers leave.
MAX_LEFT = STREAMS // 5
# The rule: "workers are still at work half a second later on more than a quarter".
AT_WORK_SECONDS = 0.5
SHARE = 0.25


async def play(case: Case) -> bool:
    """Let one of six workers go dark while some consumers leave early."""
    route = build(
        "long",
        "stream",
        "footfall-lm",
        max_attempts=2,
        can_resume=True,
        priority=1,
        public=True,
    )
    configuration = build_configuration(
        [{**route, "timeout_ms": 8000}], ("footfall-lm",)
    )
    case.platform.put("keyed.op", "config", configuration)
    for number in range(1, 6):
        await case.start_worker(
            f"i-{number:010x}",
            "footfall-lm",
            ZONES[number % 2],
            "--events",
            str(EVENTS),
            "--gap",
            str(GAP_SECONDS),
            stage="decode",
        )
    await case.gateways.start_all()
    await asyncio.sleep(4.0)
    dark = DarkAddress()
    if case.trouble:
        host, port = dark.address
        entry = {
            "service": "footfall-lm",
            "address": f"{host}:{port}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "decode",
            "models": [{"name": "m", "version": 1, "loras": []}],
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        case.platform.put("keyed.servers", "i-00000000ff", entry)
        case.write("worker i-00000000ff has checked in and goes dark")
    await asyncio.sleep(1.0)
    left: dict[str, float] = {}
    sending = []
    for number in range(STREAMS):
        front = case.gateways.machines[number % 2].front
        sending.append(asyncio.create_task(send(case, front, number, left)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*sending)
    await asyncio.sleep(EVENTS * GAP_SECONDS + 1.0)
    dark.close()
    return check(case, left)


async def send(
    case: Case, front: tuple[str, int], number: int, left: dict[str, float]
) -> None:
    """Send a stream; leave if nothing has come within the patience."""
    request_id = f"{number:016x}"
    reader, writer = await asyncio.open_connection(*front)
    head = [
        "POST /long/x HTTP/1.1",
        f"Host: {HOST}",
        f"X-Wisteriagw-Request-Id: {request_id}",
        "X-Wisteriagw-Deadline-Ms: 8000",
        "X-Wisteriagw-Model: m",
        "X-Wisteriagw-Token-Count: 383,20",
        f"X-Wisteriagw-Prompt-Prefix: 5c1e07a2:92,{number:08x}:291",
        "Content-Length: 0",
        "",
        "",
    ]
    writer.write("\r\n".join(head).encode())
    try:
        async with asyncio.timeout(PATIENCE_SECONDS):
            await reader.readuntil(b"\n\n")
    except TimeoutError:
        if len(left) >= MAX_LEFT:
            case.write(f"request {request_id}: the consumer stays, enough have left")
            await read_to_end(case, request_id, reader, writer)
            return
        left[request_id] = time.monotonic()
        case.write(f"request {request_id}: nothing within 0.3 s, the consumer leaves")
        writer.transport.abort()
        return
    await read_to_end(case, request_id, reader, writer)


async def read_to_end(
    case: Case,
    request_id: str,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Read a chunked answer to its last chunk."""
    while data := await reader.read(65536):
        if data.endswith(b"0\r\n\r\n"):
            break
    case.write(f"request {request_id}: answered")
    writer.close()


def check(case: Case, left: dict[str, float]) -> bool:
    """Return whether workers went on for too many of the consumers that left."""
    spans: dict[str, list[float]] = {}
    for worker in case.workers:
        for line in worker.lines:
            if line["request"] in left and line["what"] in ("begins", "event", "ends"):
                case.write_at(line["at"], f"worker {worker.name}: {line}")
                spans.setdefault(line["request"], []).append(line["at"])
    late = [
        request_id
        for request_id, times in spans.items()
        if times and max(times) - left[request_id] > AT_WORK_SECONDS
    ]
    case.write(
        f"{len(left)} consumers left; workers were at work on {len(late)} of their "
        f"streams {AT_WORK_SECONDS} s later, which began after they had left"
    )
    if case.trouble and not left:
        raise CaseError("no consumer has left")
    return len(late) > SHARE * len(left)


if __name__ == "__main__":
    run_case(__file__, ZONES, play)
