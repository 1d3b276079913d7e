"""Sign that a backend server is leaving."""

from __future__ import annotations

from typing import NamedTuple


class BackendDeparture(NamedTuple):
    """Highest incarnation of a backend server that is leaving.

    Attributes
    ----------
    incarnation : int
        The server gets work again only in a later incarnation.
    received_at : float
        When this VM learned of it.
    """

    incarnation: int
    received_at: float
