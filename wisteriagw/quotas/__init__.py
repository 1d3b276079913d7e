"""Quotas of customers: a token bucket that represents all VMs."""

from __future__ import annotations

from wisteriagw.quotas._customer_quota import CustomerQuota, find_cost
from wisteriagw.quotas._decaying_sum import DecayingSum
from wisteriagw.quotas._decision import (
    decide_quota,
    find_fraction,
    is_restricted,
)
from wisteriagw.quotas._other_vms import OtherVms
from wisteriagw.quotas._quota_bucket import (
    ADMITTED_SECONDS,
    DEMAND_SECONDS,
    QuotaBucket,
)
from wisteriagw.quotas._quota_decision import QuotaDecision
from wisteriagw.quotas._quota_tolerance import QuotaTolerance
from wisteriagw.quotas._quota_view import QuotaView

__all__ = [
    "ADMITTED_SECONDS",
    "DEMAND_SECONDS",
    "CustomerQuota",
    "DecayingSum",
    "OtherVms",
    "QuotaBucket",
    "QuotaDecision",
    "QuotaTolerance",
    "QuotaView",
    "decide_quota",
    "find_cost",
    "find_fraction",
    "is_restricted",
]
