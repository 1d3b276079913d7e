"""Order of backend servers."""

from __future__ import annotations

from typing import NamedTuple


class ServerOrder(NamedTuple):
    """Servers of one kind to be ordered in one data centre."""

    data_centre: str
    reclaimable: bool
    count: int
