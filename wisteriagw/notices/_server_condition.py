"""What is known of one backend server by its own notices."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.eras import NOWHERE, StorePosition


class ServerCondition(NamedTuple):
    """Notices of one process of a backend server, combined.

    Attributes
    ----------
    born : int
        Start time of the process.
    left_position : StorePosition
        Position in the register up to which the server is leaving.
    left_at : float
        Time of the first notice of that.
    paused_at, paused_until : float
        Time of the notice that it wants no requests, and end of that time.
    rate, rate_at : float
        Requests per second that it takes from all VMs, and time of the notice of that;
        infinite without a limit.
    """

    born: int
    left_position: StorePosition = NOWHERE
    left_at: float = 0.0
    paused_at: float = 0.0
    paused_until: float = float("-inf")
    rate: float = float("inf")
    rate_at: float = float("-inf")
