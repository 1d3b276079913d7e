"""Customer of the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Customer(NamedTuple):
    """Who a request runs for.

    Attributes
    ----------
    name : str
        Name that backend servers are given.
    priority : int or None
        Rank that goes before the route's; None if there is none.
    """

    name: str
    priority: int | None = None
