"""HTTP peer whose behaviour, such as protocol errors, a test scripts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.protocol import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class ScriptedPeer(Protocol):
    """Calls ``on_connect`` at once and ``on_request`` after each complete request."""

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
        """Run the script for the new connection."""
        if self._on_connect is not None:
            self._on_connect(self)

    def dataReceived(self, data: bytes) -> None:
        """Run the script for each complete request; requests must have no body."""
        self._data += data
        while b"\r\n\r\n" in self._data:
            _, _, self._data = self._data.partition(b"\r\n\r\n")
            self._requests += 1
            if self._on_request is not None:
                self._on_request(self, self._requests)

    def answer(self, status: int, body: bytes, length: int | None = None) -> None:
        """Send a response whose ``Content-Length`` may be wrong."""
        size = len(body) if length is None else length
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {size}\r\n\r\n"
        self.transport.write(head.encode("ascii") + body)
