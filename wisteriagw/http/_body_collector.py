"""Collector of a response body with a bound on its size."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure


class BodyCollector(Protocol):
    """Gives the whole body, or the failure that cut it short."""

    def __init__(self, finished: Deferred[bytes], max_bytes: int) -> None:
        self._finished = finished
        self._max_bytes = max_bytes
        self._parts: list[bytes] = []
        self._size = 0

    def dataReceived(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._size += len(data)
        if self._size > self._max_bytes:
            self.transport.abortConnection()
            return
        self._parts.append(data)

    def connectionLost(self, reason: Failure) -> None:
        """Give the body if it is whole."""
        if reason.check(ResponseDone):
            self._finished.callback(b"".join(self._parts))
            return
        self._finished.errback(reason)
