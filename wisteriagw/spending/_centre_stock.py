"""Backend servers of a service in one data centre."""

from __future__ import annotations

from typing import NamedTuple


class CentreStock(NamedTuple):
    """What is held of a service in a data centre.

    Attributes
    ----------
    data_centre : str
        Where.
    price : float
        Price of a dependable server per second.
    dependable, reclaimable : int
        Servers of each kind that are not leaving.
    """

    data_centre: str
    price: float
    dependable: int
    reclaimable: int
