"""Content of heartbeats."""

from __future__ import annotations

from typing import NamedTuple


class HeartbeatContent(NamedTuple):
    """Fields of ``wisteriagw.messages.Heartbeat`` that are equal for all peers."""

    seq: int
    leaving: bool
    established: bool
    revision: int
    log_read_at: float
    departures: tuple[tuple[str, int], ...] = ()
