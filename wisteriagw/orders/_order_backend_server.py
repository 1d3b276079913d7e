"""Order: the platform provides a backend server."""

from __future__ import annotations

from typing import NamedTuple


class OrderBackendServer(NamedTuple):
    """Requests one backend server; ``need`` uniquely identifies the request."""

    need: str
    data_centre: str
    serves: str
    reclaimable: bool
