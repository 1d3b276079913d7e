"""Checks of what callers and the platform have seen."""

from __future__ import annotations

from collections import Counter

from tests.soak._caller import PATIENCE_SECONDS

PROMISES = (408, 421, 429, 503)
ONCE = ("unsafe", "ask")
WITHDRAWAL_SECONDS = 5.0
LEASE_SECONDS = 3.0


def list_faults(ended, seen, withdrawn, disturbed) -> list[str]:
    """Return every broken promise.

    Parameters
    ----------
    ended : list of Ended
        Requests of the callers.
    seen : dict
        Runs and reports that the platform stand-in saw.
    withdrawn : dict of str to float
        When the keys of customers were withdrawn for good.
    disturbed : bool
        Whether requests may wait for longer because processes were stopped.
    """
    faults = [f"{one.request_id}: {one.fault}" for one in ended if one.fault]
    runs = Counter(request_id for request_id, _, _ in seen["runs"])
    customers = {request_id: customer for request_id, customer, _ in seen["runs"]}
    for one in ended:
        count = runs[one.request_id]
        if count > 1 and one.kind in ONCE:
            faults.append(f"{one.request_id}: {one.kind} ran {count} times")
        if count and one.status in PROMISES and one.kind in ONCE:
            faults.append(f"{one.request_id}: {one.status} though it ran")
        if count > 2:
            faults.append(f"{one.request_id}: ran at {count} servers")
        if customers.get(one.request_id, one.customer) != one.customer:
            faults.append(f"{one.request_id}: ran for another customer")
        withdrawn_at = withdrawn.get(one.customer, float("inf"))
        if count and one.sent_at > withdrawn_at + WITHDRAWAL_SECONDS:
            faults.append(f"{one.request_id}: ran with a withdrawn key")
        if one.seconds > PATIENCE_SECONDS + 1.0 and not disturbed:
            faults.append(f"{one.request_id}: no answer for {one.seconds:.1f} s")
    return faults + list_duty_faults(seen["reports"])


def list_duty_faults(reports) -> list[str]:
    """Return reports that differ and holders that took turns too soon."""
    faults = []
    windows: dict[int, dict] = {}
    numbers: dict[str, int] = {}
    holders: list[list] = []
    for target, holder, number, at, fields in reports:
        if target == "/usage":
            known = windows.setdefault(fields["window_id"], fields["counts"])
            if known != fields["counts"]:
                faults.append(f"window {fields['window_id']} was reported differently")
        subject = target + fields.get("service", "") + fields.get("zone", "")
        if number < numbers.get(subject, 0):
            faults.append(f"{holder} sent the lower number {number}")
        numbers[subject] = max(number, numbers.get(subject, 0))
        if not holders or holders[-1][0] != holder:
            holders.append([holder, at, at])
        holders[-1][2] = at
    for before, _, after in zip(holders, holders[1:], holders[2:], strict=False):
        if before[0] == after[0] and after[1] - before[2] < LEASE_SECONDS:
            faults.append(f"{before[0]} and another took turns")
    return faults


def check_usage(ended, seen, lost_process: bool) -> list[str]:
    """Return windows that are not reported as run, if no process was killed."""
    if lost_process:
        return []
    reported: Counter = Counter()
    for target, _, _, _, fields in seen["reports"]:
        if target == "/usage":
            reported[fields["window_id"]] = sum(fields["counts"].values())
    ran = {request_id for request_id, _, _ in seen["runs"]}
    total = sum(reported.values())
    if abs(total - len(ran)) > max(3, 0.05 * len(ran)):
        return [f"{total} requests were reported and {len(ran)} ran"]
    return []
