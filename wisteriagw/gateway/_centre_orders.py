"""Orders of one data centre, as far as later ones depend on them."""

from __future__ import annotations

import math
from typing import NamedTuple


class CentreOrders(NamedTuple):
    """Latest orders for a service in a data centre.

    Attributes
    ----------
    asked : int
        Servers of the latest order, whatever its outcome.
    count : int
        Servers of the latest accepted order; 0 if the answer of a later one was lost.
    ordered_at : float
        Time of the latest order that may have had an effect.
    registered : int
        Highest number of servers that have been registered since.
    released_at : float
        Time of the latest order that released a server.
    needed_at : float
        Time at which all servers were last needed.
    lacking_since : float or None
        Time from which servers have been missing.
    """

    asked: int = 0
    count: int = 0
    ordered_at: float = -math.inf
    registered: int = 0
    released_at: float = -math.inf
    needed_at: float = -math.inf
    lacking_since: float | None = None
