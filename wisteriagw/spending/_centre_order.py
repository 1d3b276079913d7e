"""Number of servers of one kind wanted in a data centre."""

from __future__ import annotations

from typing import NamedTuple


class CentreOrder(NamedTuple):
    """Order that brings a kind of servers to a number; it is not a difference."""

    data_centre: str
    reclaimable: bool
    count: int
