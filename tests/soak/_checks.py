"""Checks of the guarantees against what the callers and the platform observed."""

from __future__ import annotations

from collections import Counter

from tests.soak._caller import DEADLINE_SECONDS

NOT_RUN_STATUSES = (408, 421, 429, 503)
NONREPEATABLE_KINDS = ("unsafe", "ask")
WITHDRAWAL_SECONDS = 5.0
LEASE_SECONDS = 3.0


def list_violations(completed, seen, withdrawn, processes_stopped) -> list[str]:
    """Return a description of each violated guarantee.

    Parameters
    ----------
    completed : list of CompletedRequest
        Requests of the callers.
    seen : dict
        Runs and duty calls that the platform stand-in recorded.
    withdrawn : dict of str to float
        When the keys of customers were withdrawn for good.
    processes_stopped : bool
        Whether requests may take longer because processes were stopped.
    """
    violations = [
        f"{request.request_id}: {request.violation}"
        for request in completed
        if request.violation
    ]
    runs = Counter(request_id for request_id, _, _ in seen["runs"])
    customers = {request_id: customer for request_id, customer, _ in seen["runs"]}
    for request in completed:
        count = runs[request.request_id]
        if count > 1 and request.kind in NONREPEATABLE_KINDS:
            violations.append(f"{request.request_id}: {request.kind} ran {count} times")
        if (
            count
            and request.status in NOT_RUN_STATUSES
            and request.kind in NONREPEATABLE_KINDS
        ):
            violations.append(
                f"{request.request_id}: status {request.status} although it ran"
            )
        if count > 2:
            violations.append(f"{request.request_id}: ran at {count} servers")
        if customers.get(request.request_id, request.customer) != request.customer:
            violations.append(f"{request.request_id}: ran for another customer")
        withdrawn_at = withdrawn.get(request.customer, float("inf"))
        if count and request.sent_at > withdrawn_at + WITHDRAWAL_SECONDS:
            violations.append(f"{request.request_id}: ran with a withdrawn key")
        if request.seconds > DEADLINE_SECONDS + 1.0 and not processes_stopped:
            violations.append(
                f"{request.request_id}: no answer for {request.seconds:.1f} s"
            )
    return violations + list_duty_violations(seen["reports"])


def list_duty_violations(reports) -> list[str]:
    """Return violations of the duty calls.

    Reports of a window must agree, fencing numbers must not decrease, and a holder
    must not return within a lease after another one.
    """
    violations = []
    windows: dict[int, dict] = {}
    numbers: dict[str, int] = {}
    holders: list[list] = []
    for target, holder, number, at, fields in reports:
        if target == "/usage":
            known = windows.setdefault(fields["window_id"], fields["counts"])
            if known != fields["counts"]:
                violations.append(
                    f"window {fields['window_id']} was reported with different counts"
                )
        subject = target + fields.get("service", "") + fields.get("zone", "")
        if number < numbers.get(subject, 0):
            violations.append(f"{holder} sent the lower fencing number {number}")
        numbers[subject] = max(number, numbers.get(subject, 0))
        if not holders or holders[-1][0] != holder:
            holders.append([holder, at, at])
        holders[-1][2] = at
    for before, _, after in zip(holders, holders[1:], holders[2:], strict=False):
        if before[0] == after[0] and after[1] - before[2] < LEASE_SECONDS:
            violations.append(
                f"{before[0]} and another holder alternated within the lease time"
            )
    return violations


def check_usage(completed, seen, process_lost: bool) -> list[str]:
    """Return a violation if the reported total differs from the requests that ran.

    Not checked if a process was lost, as its usage may be lost with it.
    """
    if process_lost:
        return []
    reported: Counter = Counter()
    for target, _, _, _, fields in seen["reports"]:
        if target == "/usage":
            reported[fields["window_id"]] = sum(fields["counts"].values())
    ran = {request_id for request_id, _, _ in seen["runs"]}
    total = sum(reported.values())
    if abs(total - len(ran)) > max(3, 0.05 * len(ran)):
        return [f"{total} requests were reported but {len(ran)} ran"]
    return []
