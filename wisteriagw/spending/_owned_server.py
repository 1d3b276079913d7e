"""Backend server that is paid for."""

from __future__ import annotations

from typing import NamedTuple


class OwnedServer(NamedTuple):
    """A backend server from its order to its end.

    Attributes
    ----------
    name, data_centre : str
        Identity and place.
    reclaimable : bool
        Whether it is a cheap one.
    up : bool
        False from the order until it takes work.
    leaving : bool
        Whether it was given back or is reclaimed.
    running_streams : float
        Work that a return would have to wait for.
    """

    name: str
    data_centre: str
    reclaimable: bool
    up: bool = True
    leaving: bool = False
    running_streams: float = 0.0
