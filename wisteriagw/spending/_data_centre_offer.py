"""What the platform offers in a data centre."""

from __future__ import annotations

from typing import NamedTuple


class DataCentreOffer(NamedTuple):
    """Prices per server and second, and whether cheap servers are to be had."""

    data_centre: str
    cheap_available: bool = True
    cheap_price: float = 0.35
    dependable_price: float = 1.0
