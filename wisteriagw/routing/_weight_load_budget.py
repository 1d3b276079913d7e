"""Budget of loads from the weight store."""

from __future__ import annotations

import math
from typing import NamedTuple

# The weight store is rate-limited; this is one entry VM's share of its rate.
LOADS_PER_SECOND = 0.2
MAX_BURST_LOADS = 2.0


class WeightLoadBudget(NamedTuple):
    """Token bucket of loads that may start, as of a time; below 0, loads must wait."""

    loads: float = MAX_BURST_LOADS
    at: float = -math.inf


def reserve_load(budget: WeightLoadBudget, now: float) -> WeightLoadBudget:
    """Return the budget after reserving one load."""
    return WeightLoadBudget(count_loads(budget, now) - 1.0, now)


def estimate_load_wait(budget: WeightLoadBudget, now: float) -> float:
    """Return the seconds until one more load may start."""
    return max(0.0, (1.0 - count_loads(budget, now)) / LOADS_PER_SECOND)


def count_loads(budget: WeightLoadBudget, now: float) -> float:
    """Return the loads that may start at a time."""
    if budget.at == -math.inf:
        return budget.loads
    return min(MAX_BURST_LOADS, budget.loads + LOADS_PER_SECOND * (now - budget.at))
