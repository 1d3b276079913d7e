"""Orders of one data centre, as far as later ones depend on them."""

from __future__ import annotations

import math
from typing import NamedTuple


class CentreOrders(NamedTuple):
    """Latest orders for a service in a data centre.

    Attributes
    ----------
    count : int
        Servers of the latest order that may have had an effect.
    ordered_at : float
        Time of that order.
    registered : int
        Highest number of servers that have been registered since.
    released_at : float
        Time of the latest order that released a server.
    needed_at : float
        Time at which all servers were last needed.
    lacking_since : float or None
        Time from which servers have been missing.
    """

    count: int = 0
    ordered_at: float = -math.inf
    registered: int = 0
    released_at: float = -math.inf
    needed_at: float = -math.inf
    lacking_since: float | None = None
