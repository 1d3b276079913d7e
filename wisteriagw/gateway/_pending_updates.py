"""State changes of this process to be sent with the next update."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._delta_queue import DeltaQueue
from wisteriagw.gateway._due_usage import NO_WINDOW, DueUsage

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter

# Usage is sent at this interval and covers the current and the last window.
USAGE_INTERVAL_SECONDS = 1.0
# A window whose storage is not confirmed is sent again after this time, so that one
# lost message does not make the VM write by itself.
CLOSED_INTERVAL_SECONDS = 0.4
USAGE_WINDOWS = 2


class PendingUpdates:
    """Prompt parts, orders and usage that have not been sent to the peers.

    Attributes
    ----------
    queue : DeltaQueue
        Rows for the next update.
    usage_relay : str or None
        VM that writes the usage of this one, None if it is written separately.
    """

    def __init__(self, usage: UsageCounter) -> None:
        self.queue = DeltaQueue()
        self._usage = usage
        self.usage_relay: str | None = None
        self._usage_sent_at = float("-inf")
        # Window that a relay was last sent to store, and the digest of its counts.
        self._closed_sent = (NO_WINDOW, 0)

    def add_parts(self, server: str, parts: list[tuple[str, int]]) -> None:
        """Add parts that an engine caches from now on."""
        self.queue.add_parts((server, part, tokens) for part, tokens in parts)

    def add_unavailable(self, server: str, seconds: float) -> None:
        """Add that a server is sent no requests for some seconds."""
        self.queue.add_unavailable(((server, seconds),))

    def pop_due_usage(self, now: float) -> DueUsage:
        """Return the usage rows that are due, or none.

        For a relay that writes them they are also due at the end of a window, and the
        window is named until the relay has confirmed its counts.
        """
        closed = NO_WINDOW if self.usage_relay is None else self._usage.find_closed()
        to_store = self._closed_sent
        if closed != NO_WINDOW:
            to_store = (closed, self._usage.compute_digest(closed))
        unconfirmed = closed != NO_WINDOW
        interval = CLOSED_INTERVAL_SECONDS if unconfirmed else USAGE_INTERVAL_SECONDS
        recent = now - self._usage_sent_at < interval
        if recent and to_store == self._closed_sent:
            return DueUsage()
        self._usage_sent_at = now
        self._closed_sent = to_store
        return DueUsage(tuple(self._usage.list_rows(USAGE_WINDOWS)), closed)
