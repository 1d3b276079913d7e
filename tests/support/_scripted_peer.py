"""HTTP peer that misbehaves as a test says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class ScriptedPeer(Protocol):
    """Calls ``on_connect`` at once and ``on_request`` for each request it has read."""

    def __init__(
        self,
        on_connect: Callable[[ScriptedPeer], None] | None,
        on_request: Callable[[ScriptedPeer, int], None] | None,
    ) -> None:
        self._on_connect = on_connect
        self._on_request = on_request
        self._requests = 0
        self._data = b""

    def connectionMade(self) -> None:
        """Act on the connection."""
        if self._on_connect is not None:
            self._on_connect(self)

    def dataReceived(self, data: bytes) -> None:
        """Act on each whole request without a body."""
        self._data += data
        while b"\r\n\r\n" in self._data:
            _, _, self._data = self._data.partition(b"\r\n\r\n")
            self._requests += 1
            if self._on_request is not None:
                self._on_request(self, self._requests)

    def answer(self, status: int, body: bytes, length: int | None = None) -> None:
        """Send an answer whose length header may be wrong."""
        size = len(body) if length is None else length
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {size}\r\n\r\n"
        self.transport.write(head.encode("ascii") + body)
