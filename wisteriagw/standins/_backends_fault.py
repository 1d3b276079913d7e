"""Injected faults of the backend server interface stand-in."""

from __future__ import annotations

from typing import NamedTuple


class BackendsFault(NamedTuple):
    """Faults of the calls to the interface.

    Attributes
    ----------
    down : bool
        Whether calls get no answer and have no effect.
    lost_replies : int
        Number of next orders that take effect without a reply.
    delay_seconds : float
        Time before a call takes effect and is answered.
    reclaimable_available : bool
        Whether reclaimable backend servers are available.
    """

    down: bool = False
    lost_replies: int = 0
    delay_seconds: float = 0.0
    reclaimable_available: bool = True
