"""Order as the backend server interface lists it."""

from __future__ import annotations

from typing import NamedTuple


class ListedOrder(NamedTuple):
    """An order that has taken effect.

    Attributes
    ----------
    order_id, need : str
        Identity of the order and the need that it was given for.
    state : str
        ``starting``, ``running``, ``reclaiming``, ``reclaimed`` or ``given_back``.
    data_centre, serves : str
        What was ordered.
    reclaimable : bool
        Whether the platform may reclaim it at short notice.
    address : str
        Address of the backend server, empty while it starts.
    reclaim_at : float
        Wall time at which it is reclaimed, 0 if it is not.
    """

    order_id: str
    need: str
    state: str
    data_centre: str
    serves: str
    reclaimable: bool
    address: str
    reclaim_at: float
