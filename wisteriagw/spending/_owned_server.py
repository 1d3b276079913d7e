"""Backend server that is ordered or running."""

from __future__ import annotations

from typing import NamedTuple


class OwnedServer(NamedTuple):
    """A backend server from its order to its end.

    Attributes
    ----------
    name, data_centre : str
        Identity and location.
    reclaimable : bool
        Whether the platform may take it away at short notice.
    up : bool
        False from the order until it accepts work.
    leaving : bool
        Whether it was released or is being reclaimed.
    running_streams : float
        Streams that a release would have to wait for.
    """

    name: str
    data_centre: str
    reclaimable: bool
    up: bool = True
    leaving: bool = False
    running_streams: float = 0.0
