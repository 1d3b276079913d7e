"""News of this process for the other VMs, collected between two messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._delta_queue import DeltaQueue

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter

# Usage is told once in this time, and covers the current and the last window.
USAGE_SECONDS = 1.0
USAGE_WINDOWS = 2


class PeerNews:
    """Prompt parts, orders and usage that the peers have not been told of.

    Attributes
    ----------
    queue : DeltaQueue
        Rows for the next message.
    """

    def __init__(self, usage: UsageCounter) -> None:
        self.queue = DeltaQueue()
        self._usage = usage
        self._usage_at = float("-inf")

    def note_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Take parts that an engine keeps from now on."""
        self.queue.add_parts((server, part, tokens) for part, tokens in parts)

    def note_away(self, server: str, seconds: float) -> None:
        """Take that a server gets no requests for some seconds."""
        self.queue.add_away(((server, seconds),))

    def take_usage(self, now: float) -> tuple:
        """Return the usage rows that are due, or none."""
        if now - self._usage_at < USAGE_SECONDS:
            return ()
        self._usage_at = now
        return tuple(self._usage.list_rows(USAGE_WINDOWS))
