"""Usage of a window is reported again, with other figures, by the next holder."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING

from review.support.case import CaseError, run_case
from review.support.operator import TENANTS, build_configuration, build_route

if TYPE_CHECKING:
    from review.support.case import Case

ZONES = ["suva-central", "nasinu", "lami"]
# SYSTEM.md, suva-arcade: "The platform's store. ... 20 s of history."
HISTORY_SECONDS = 20
# With FORGET=1 the store keeps records for 300 s, but forgets its history just before
# the kill ("the platform's store forgets its history").
FORGET = os.environ.get("FORGET") == "1"
WINDOW_SECONDS = 5
WARM_UP_SECONDS = 36.0
AFTER_KILL_SECONDS = 16.0
REQUEST_GAP_SECONDS = 0.12


async def send_requests(case: Case, number: int, counts: dict[str, int]) -> None:
    """Send requests to one machine after the other until cancelled."""
    while True:
        for machine in case.gateways.machines:
            await asyncio.sleep(REQUEST_GAP_SECONDS / len(ZONES))
            tenant = TENANTS[number % len(TENANTS)]
            _, answer = await case.send(machine.front, "/desk/x", tenant, 1000)
            key = str(answer.status) if answer.complete else "no answer"
            counts[key] = counts.get(key, 0) + 1


async def play(case: Case) -> bool:
    """Kill the holder of the duty once, and compare all reports of each window."""
    route = build_route("desk", "unsafe", "tenant-desk")
    case.platform.put("keyed.op", "config", build_configuration([route]))
    for number, zone in enumerate(ZONES, 1):
        await case.start_worker(f"i-{number:010x}", "tenant-desk", zone)
    await case.gateways.start_all()
    case.write("all machines are ready, traffic starts")
    counts: dict[str, int] = {}
    senders = [
        asyncio.create_task(send_requests(case, number, counts)) for number in range(4)
    ]
    await asyncio.sleep(WARM_UP_SECONDS)
    reports = [duty for duty in case.platform.duty_calls if duty.path == "/usage"]
    if not reports:
        raise CaseError("nobody has reported usage")
    holder = reports[-1].holder
    if case.trouble:
        machine = next(m for m in case.gateways.machines if m.name == holder)
        if FORGET:
            case.platform.forget_history()
            case.write("the store forgets its history")
        machine.kill()
        case.write(f"SIGKILL of {holder}, which acted last")
        await machine.process.wait()
        await asyncio.sleep(1.0)
        await case.gateways.start(machine)
        case.write(f"{holder} is started again")
    await asyncio.sleep(AFTER_KILL_SECONDS)
    for sender in senders:
        sender.cancel()
    case.write(f"answers to the consumers: {counts}")
    return check(case)


def check(case: Case) -> bool:
    """Return whether a window was accepted with different counts."""
    offset = time.monotonic() - time.time()
    broken = False
    for window, calls in sorted(case.platform.list_usage().items()):
        ends = (window + 1) * WINDOW_SECONDS
        for duty in calls:
            case.write_at(
                duty.at + offset,
                f"/usage accepted: window {window} (ended {duty.at - ends:.1f} s ago) "
                f"from {duty.holder}, token {duty.token}: {duty.fields['counts']}",
            )
        if any(duty.fields["counts"] != calls[0].fields["counts"] for duty in calls):
            broken = True
            case.write(f"window {window} was accepted with different counts")
    return broken


if __name__ == "__main__":
    run_case(__file__, ZONES, play, 300 if FORGET else HISTORY_SECONDS)
