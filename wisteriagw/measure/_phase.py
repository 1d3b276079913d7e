"""Phase of a scenario."""

from __future__ import annotations

from typing import NamedTuple


class Phase(NamedTuple):
    """A time with a load and a mix that move evenly.

    Attributes
    ----------
    seconds : float
        Length.
    load : float
        Offered load over the capacity of the deployment's workers.
    share_from, share_to : float
        Share of prefill in the work of the model calls.
    flood : bool
        Whether one large customer offers all that the others leave of the load.
    """

    seconds: float
    load: float
    share_from: float = 0.2
    share_to: float = 0.2
    flood: bool = False
