"""Collector of a response body with a bound on its size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyCollector(Protocol):
    """Collects a body; ``finished`` fires with it, or fails if it is incomplete."""

    def __init__(self, max_bytes: int) -> None:
        # Cancelling, for example by a timeout, also closes the connection, which a
        # sender that never finishes would otherwise keep open.
        self.finished: Deferred[bytes] = Deferred(lambda _: self._close())
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Append a chunk, or close the connection once the body exceeds the bound."""
        self._size += len(data)
        if self._size > self._max_bytes:
            self._close()
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure) -> None:
        """Fire ``finished`` with the body if it is complete and within the bound."""
        if self.finished.called:
            return
        if reason.check(ResponseDone) and self._size <= self._max_bytes:
            self.finished.callback(b"".join(self._parts))
            return
        self.finished.errback(reason)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()
