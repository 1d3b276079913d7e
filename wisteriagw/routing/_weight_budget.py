"""Budget of loads from the weight store."""

from __future__ import annotations

import math
from typing import NamedTuple

# The weight store is rate-limited; this is the part of its rate that one entry VM uses.
LOADS_PER_SECOND = 0.2
MOST_LOADS_AT_ONCE = 2.0


class WeightBudget(NamedTuple):
    """Loads that may start now, as of a time; below 0 loads wait for their turn."""

    loads: float = MOST_LOADS_AT_ONCE
    at: float = -math.inf


def reserve_load(budget: WeightBudget, now: float) -> WeightBudget:
    """Return the budget after a load was taken from it."""
    return WeightBudget(count_loads(budget, now) - 1.0, now)


def estimate_load_wait(budget: WeightBudget, now: float) -> float:
    """Return the seconds until one more load may start."""
    return max(0.0, (1.0 - count_loads(budget, now)) / LOADS_PER_SECOND)


def count_loads(budget: WeightBudget, now: float) -> float:
    """Return the loads that may start at a time."""
    if budget.at == -math.inf:
        return budget.loads
    return min(MOST_LOADS_AT_ONCE, budget.loads + LOADS_PER_SECOND * (now - budget.at))
