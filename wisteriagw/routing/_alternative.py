"""Candidate backend server of a routing decision."""

from __future__ import annotations

from typing import NamedTuple


class Alternative(NamedTuple):
    """A candidate, its estimate and why it was rejected (empty if it was chosen)."""

    backend_server: str
    estimated_seconds: float
    reason: str
