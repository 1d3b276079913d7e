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
    load : float
        Forecast load in fully used servers.
    load_once : float
        Part of it that must not repeat.
    enough_since : float
        Time since which the servers that are held have been enough.
    forecast_at : float
        Time of the forecast's last sample.
    max_servers : int
        Servers that the platform lets us have.
    """

    offers: tuple[DataCentreOffer, ...]
    servers: tuple[OwnedServer, ...]
    load: float
    load_once: float = 0.0
    enough_since: float = math.inf
    forecast_at: float = -math.inf
    max_servers: int = 1_000_000
