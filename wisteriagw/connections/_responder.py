"""Writer of the response to one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.connections._server_connection import ServerConnection

HeaderList = tuple[tuple[bytes, bytes], ...]


class Responder:
    """Writes the response to a request.

    Attributes
    ----------
    on_disconnect : callable
        Called without arguments if the caller disconnects before the response ends.
    started, ended : bool
        Whether the head was written; whether the response was ended or aborted, or
        the caller disconnected.
    """

    def __init__(self, connection: ServerConnection) -> None:
        self.on_disconnect: Callable[[], None] = _ignore
        self.started = False
        self.ended = False
        self._connection = connection

    def start(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Write the head; without a content length the body is sent in chunks."""
        if self.ended:
            return
        self.started = True
        self._connection.write_head(status, tuple(headers))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not self.ended and data:
            self._connection.write_data(data)

    async def wait_writable(self) -> None:
        """Wait until the caller has received most of what was written."""
        if not self.ended:
            await self._connection.wait_writable()

    def end(self) -> None:
        """End the response."""
        if not self.ended:
            self.ended = True
            self._connection.write_end()

    def reply(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
    ) -> None:
        """Write a complete response."""
        length = (b"content-length", str(len(body)).encode("ascii"))
        self.start(status, (*headers, length))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete response."""
        if not self.ended:
            self.ended = True
            self._connection.abort()

    def handle_disconnect(self) -> None:
        """Handle the loss of the connection."""
        if not self.ended:
            self.ended = True
            self.on_disconnect()


def _ignore() -> None:
    """Do nothing when a caller disconnects."""
