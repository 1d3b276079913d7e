"""Phase of a scenario."""

from __future__ import annotations

from typing import NamedTuple


class Phase(NamedTuple):
    """A period of constant load; the share of prefill changes linearly.

    Attributes
    ----------
    seconds : float
        Duration.
    load : float
        Offered load relative to the capacity of the deployment's workers.
    prefill_share_start, prefill_share_end : float
        Share of prefill in the work of the model calls, at the start and the end.
    flood : bool
        Whether one large customer offers all of the load that the others do not.
    """

    seconds: float
    load: float
    prefill_share_start: float = 0.2
    prefill_share_end: float = 0.2
    flood: bool = False
