"""How far the connection of an attempt has come."""

from __future__ import annotations

from typing import Any


class AttemptProgress:
    """Tells whether a request may have been handed to the transport.

    A connection taken from the pool is never seen here, so the attempt counts as sent
    unless a connection attempt of its own is known to be pending.
    """

    def __init__(self) -> None:
        self._connecting = False

    @property
    def may_have_been_sent(self) -> bool:
        """Whether a byte of the request may have left."""
        return not self._connecting

    def start_connecting(self) -> None:
        """Record that a connection attempt is pending."""
        self._connecting = True

    def finish_connecting(self, connection: Any) -> Any:
        """Record that the connection is established; passes the connection on."""
        self._connecting = False
        return connection
