"""Number of servers of each kind that is aimed at."""

from __future__ import annotations

from typing import NamedTuple


class FleetTarget(NamedTuple):
    """Cheap and dependable servers, their price, and why it lost (empty if chosen)."""

    cheap: int
    dependable: int
    price: float
    reason: str = ""
