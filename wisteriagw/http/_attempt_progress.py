"""Connection progress of one request attempt."""

from __future__ import annotations

from typing import Any


class AttemptProgress:
    """Tracks whether a request may have been handed to the transport.

    A connection taken from the pool is not tracked, so the attempt counts as sent
    unless a connection attempt of its own is known to be pending.
    """

    def __init__(self) -> None:
        self._connecting = False

    @property
    def may_have_been_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return not self._connecting

    def start_connecting(self) -> None:
        """Record that a connection attempt is pending."""
        self._connecting = True

    def finish_connecting(self, connection: Any) -> Any:
        """Record that the connection is established; returns the connection."""
        self._connecting = False
        return connection
