"""Observation of an unchanged lease."""

from __future__ import annotations

from typing import NamedTuple


class Observation(NamedTuple):
    """Time without a change of a lease, on the reader's own clock.

    Attributes
    ----------
    head : int
        Offset that was unchanged.
    since : float
        When the reply that first showed it had arrived.
    last_read_at : float
        When the last reply that reached the tip had arrived.
    """

    head: int
    since: float
    last_read_at: float
