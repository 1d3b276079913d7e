"""Order of backend servers."""

from __future__ import annotations

from typing import NamedTuple


class ServerOrder(NamedTuple):
    """Order of additional servers of one kind in one data centre."""

    data_centre: str
    reclaimable: bool
    count: int
