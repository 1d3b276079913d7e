"""Figures of a run."""

from __future__ import annotations

from typing import TypedDict


class Figures(TypedDict):
    """Figures that the tool prints; docs/measurements.md describes them."""

    scenario: str
    policy: str
    deployment: str
    seed: int
    load: float | None
    offered: int
    goodput: float
    model_goodput: float
    worst_customer_goodput: float
    worst_customer_share: float
    recovery_seconds: float
    role_changes: int
    cost: float
    cost_lower_bound: float
    cheap_work_share: float
    harmed_requests: int
    refused_not_run: int
    ran_twice: int
    usage_errors: int
    decisions: int
    decision_microseconds: float
