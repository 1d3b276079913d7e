"""Offer of the platform in a data centre."""

from __future__ import annotations

from typing import NamedTuple


class DataCentreOffer(NamedTuple):
    """Prices per server and second, and whether reclaimable servers are available."""

    data_centre: str
    reclaimable_available: bool = True
    reclaimable_price: float = 0.35
    dependable_price: float = 1.0
