"""Terms under which backend servers of a service are ordered."""

from __future__ import annotations

from typing import NamedTuple


class ScalingTerms(NamedTuple):
    """Limits on the number of a service's backend servers, and their prices.

    Attributes
    ----------
    min_servers, max_servers : int
        Limits in each data centre, reclaimable servers included.
    startup_seconds : float
        Time from an order until the server accepts requests.
    reclaimable_price : float
        Price of a reclaimable server as a fraction of the price of a dependable one; 0
        if there are none.
    prices : tuple
        Pairs of data centre and price of a dependable server per second.
    """

    min_servers: int
    max_servers: int
    startup_seconds: float
    reclaimable_price: float
    prices: tuple[tuple[str, float], ...]
