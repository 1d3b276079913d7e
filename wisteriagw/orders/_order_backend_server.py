"""Order: the platform provides a backend server."""

from __future__ import annotations

from typing import NamedTuple


class OrderBackendServer(NamedTuple):
    """One backend server is needed; ``need`` names this need and no other."""

    need: str
    data_centre: str
    serves: str
    reclaimable: bool
