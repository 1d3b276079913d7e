"""Order for a number of servers of one kind in a data centre."""

from __future__ import annotations

from typing import NamedTuple


class CentreOrder(NamedTuple):
    """Order of a total number of servers of one kind, not of a difference."""

    data_centre: str
    reclaimable: bool
    count: int
