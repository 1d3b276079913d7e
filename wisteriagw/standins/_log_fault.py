"""Injected faults of the log stand-in."""

from __future__ import annotations

from typing import NamedTuple


class LogFault(NamedTuple):
    """Faults of the calls to the log.

    Attributes
    ----------
    down : bool
        Whether calls get no answer and have no effect.
    lost_replies : int
        Number of next appends that take effect without a reply.
    delay_seconds : float
        Delay of every reply.
    """

    down: bool = False
    lost_replies: int = 0
    delay_seconds: float = 0.0
