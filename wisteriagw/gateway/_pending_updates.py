"""State changes of this process to be sent with the next update."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._delta_queue import DeltaQueue

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter

# Usage is sent at this interval and covers the current and the last window.
USAGE_INTERVAL_SECONDS = 1.0
USAGE_WINDOWS = 2


class PendingUpdates:
    """Prompt parts, orders and usage that have not been sent to the peers.

    Attributes
    ----------
    queue : DeltaQueue
        Rows for the next update.
    """

    def __init__(self, usage: UsageCounter) -> None:
        self.queue = DeltaQueue()
        self._usage = usage
        self._usage_sent_at = float("-inf")

    def add_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Add parts that an engine caches from now on."""
        self.queue.add_parts((server, part, tokens) for part, tokens in parts)

    def add_unavailable(self, server: str, seconds: float) -> None:
        """Add that a server is sent no requests for some seconds."""
        self.queue.add_unavailable(((server, seconds),))

    def pop_due_usage(self, now: float) -> tuple:
        """Return the usage rows that are due, or none."""
        if now - self._usage_sent_at < USAGE_INTERVAL_SECONDS:
            return ()
        self._usage_sent_at = now
        return tuple(self._usage.list_rows(USAGE_WINDOWS))
