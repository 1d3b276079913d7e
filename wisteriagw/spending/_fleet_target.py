"""Target number of servers of each kind."""

from __future__ import annotations

from typing import NamedTuple


class FleetTarget(NamedTuple):
    """Servers of each kind, their price, and why it was rejected (empty if chosen)."""

    reclaimable: int
    dependable: int
    price: float
    reason: str = ""
