"""What a VM says of itself in a heartbeat."""

from __future__ import annotations

from typing import NamedTuple


class HeartbeatContent(NamedTuple):
    """State of the sender; see ``wisteriagw.messages.Heartbeat``."""

    seq: int
    leaving: bool
    established: bool
    revision: int
    log_read_at: float
    departures: tuple[tuple[str, int], ...] = ()
