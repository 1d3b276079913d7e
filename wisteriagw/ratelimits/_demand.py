"""Smoothed demand of this VM and of all VMs for a service."""

from __future__ import annotations

import math
from typing import NamedTuple

# Open requests of one VM are few and change from one update to the next.
SMOOTHING_SECONDS = 2.0


class Demand(NamedTuple):
    """Open requests for a service, averaged over the last seconds.

    Attributes
    ----------
    own, total : float
        Open requests of this VM and of all VMs, this one included.
    at : float
        Time of the newest sample.
    """

    own: float
    total: float
    at: float


def add_sample(demand: Demand | None, own: float, total: float, now: float) -> Demand:
    """Return the demand after a further sample."""
    if demand is None:
        return Demand(own, total, now)
    weight = 1.0 - math.exp(-max(0.0, now - demand.at) / SMOOTHING_SECONDS)
    return Demand(
        demand.own + weight * (own - demand.own),
        demand.total + weight * (total - demand.total),
        now,
    )
