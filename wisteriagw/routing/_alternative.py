"""A backend server that a routing decision looked at."""

from __future__ import annotations

from typing import NamedTuple


class Alternative(NamedTuple):
    """A candidate, its estimate, and the reason it lost (empty if it was chosen)."""

    backend_server: str
    estimated_seconds: float
    reason: str
