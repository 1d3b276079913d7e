"""Input of a spending decision."""

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
        Servers that can be ordered, by data centre.
    servers : tuple of OwnedServer
        All servers that are ordered or running.
    load : float
        Forecast load in fully used servers.
    nonrepeatable_load : float
        Part of it that must not be repeated.
    sufficient_since : float
        Time since which the current servers have been sufficient.
    forecast_at : float
        Time of the forecast's last sample.
    max_servers : int
        Limit of the platform on the number of servers.
    """

    offers: tuple[DataCentreOffer, ...]
    servers: tuple[OwnedServer, ...]
    load: float
    nonrepeatable_load: float = 0.0
    sufficient_since: float = math.inf
    forecast_at: float = -math.inf
    max_servers: int = 1_000_000
