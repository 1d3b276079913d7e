"""Fault that the log stand-in shows."""

from __future__ import annotations

from typing import NamedTuple


class LogFault(NamedTuple):
    """How calls to the log are disturbed.

    Attributes
    ----------
    down : bool
        Whether calls get no answer and have no effect.
    lost_replies : int
        Number of appends that shall take effect without a reply.
    delay_seconds : float
        Delay of every reply.
    """

    down: bool = False
    lost_replies: int = 0
    delay_seconds: float = 0.0
