"""Decisions on requests of customers with a quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.quotas._quota_decision import QuotaDecision

if TYPE_CHECKING:
    from wisteriagw.quotas._quota_view import QuotaView
    from wisteriagw.ratelimits import VmCounts

# The specification's minimum; a maximum; and the wait while the registered VMs are not
# known, which takes one read of the store.
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 60.0
UNKNOWN_RETRY_AFTER_SECONDS = 0.2
# Part of the accepted excess for VMs that are counted as reachable and are not, and
# part for requests that are admitted before they are reported.
UNREACHABLE_EXCESS_PART = 0.5
REPORTING_EXCESS_PART = 0.3


def decide_quota(view: QuotaView) -> QuotaDecision:
    """Return whether the next request of a customer is admitted.

    Load: a customer that sends more than its quota, evenly or in bursts, to all VMs or
    to a few. A positive level admits a request of any size, so that one which is larger
    than the burst can run; the debt is repaid before the next one.
    """
    if view.level <= 0:
        wait = find_wait(-view.level, view.rate)
        return QuotaDecision(False, wait, "spent")
    if view.restricted and view.part_level <= 0:
        wait = find_wait(-view.part_level, view.part_rate)
        return QuotaDecision(False, wait, "part")
    return QuotaDecision(True)


def is_restricted(view: QuotaView, report_seconds: float, excess: float) -> bool:
    """Return whether each VM admits only its part of the rate.

    Load: a customer far above its quota. What the VMs admit is reported late, so all of
    them see a positive level at the same time. If they admitted all requests until the
    reports arrive, the debt would exceed what the platform accepts. A VM knows its own
    requests at once, so one that receives all of them is not restricted.

    Parameters
    ----------
    view : QuotaView
        State of the quota.
    report_seconds : float
        Time after which an admitted request is reported to all VMs.
    excess : float
        Tokens beyond the quota that the VMs in reach may use.
    """
    debt = (view.peak_demand - view.rate) * report_seconds - view.level
    unreported = view.others_peak * report_seconds
    return min(debt, unreported) > REPORTING_EXCESS_PART * excess


def find_fraction(vms: VmCounts, over: float) -> float:
    """Return the fraction of a quota that the VMs that reach each other may use.

    Load: VMs that are cut off from each other and all receive requests. The fractions
    of all groups sum to 1 plus a part of the accepted excess, so a few VMs that have
    ended without notice cost the customer nothing. The fraction is 0 until the
    registered VMs are known.

    Parameters
    ----------
    vms : VmCounts
        VMs that are alive, as far as this VM can tell, and that are registered.
    over : float
        Accepted excess as a fraction of the quota.
    """
    if vms.registered <= 0:
        return 0.0
    part = vms.alive / vms.registered
    return min(1.0, part * (1.0 + UNREACHABLE_EXCESS_PART * over))


def find_wait(missing: float, rate: float) -> float:
    """Return the seconds until a level that lacks some tokens is positive."""
    if rate <= 0:
        return UNKNOWN_RETRY_AFTER_SECONDS
    return min(max(MIN_RETRY_AFTER_SECONDS, missing / rate), MAX_RETRY_AFTER_SECONDS)
