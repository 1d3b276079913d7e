"""Departure of a backend server."""

from __future__ import annotations

from typing import NamedTuple


class BackendDeparture(NamedTuple):
    """Highest incarnation of a backend server that is leaving.

    Attributes
    ----------
    incarnation : int
        The server is available again only in a later incarnation.
    received_at : float
        When this VM was notified of the departure.
    """

    incarnation: int
    received_at: float
