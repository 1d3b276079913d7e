"""State that a spending decision needs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.spending._data_centre_offer import DataCentreOffer
    from wisteriagw.spending._owned_server import OwnedServer


class SpendingView(NamedTuple):
    """The servers of one model or one plain service.

    Attributes
    ----------
    offers : tuple of DataCentreOffer
        What can be ordered where.
    servers : tuple of OwnedServer
        All that are paid for.
    needed : float
        Forecast load in servers, headroom included.
    needed_once : float
        Part of it that must not repeat.
    needed_since : float
        Time since which the forecast has been at or below what is owned.
    forecast_at : float
        Time of the forecast's last sample.
    """

    offers: tuple[DataCentreOffer, ...]
    servers: tuple[OwnedServer, ...]
    needed: float
    needed_once: float = 0.0
    needed_since: float = math.inf
    forecast_at: float = -math.inf
