"""Answer to one request of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.connections._server_connection import ServerConnection

HeaderList = tuple[tuple[bytes, bytes], ...]


class Responder:
    """Writes the answer to a request.

    Attributes
    ----------
    on_gone : callable
        Called without arguments if the caller leaves before the answer is whole.
    started, ended : bool
        Whether the head, or the end, was written or the caller is gone.
    """

    def __init__(self, connection: ServerConnection) -> None:
        self.on_gone: Callable[[], None] = _ignore
        self.started = False
        self.ended = False
        self._connection = connection

    def start(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> None:
        """Write the head; without a content length the body goes in chunks."""
        if self.ended:
            return
        self.started = True
        self._connection.write_head(status, tuple(headers))

    def write(self, data: bytes) -> None:
        """Write a part of the body."""
        if not self.ended and data:
            self._connection.write_data(data)

    def end(self) -> None:
        """End the answer."""
        if not self.ended:
            self.ended = True
            self._connection.write_end()

    def reply(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"",
    ) -> None:
        """Write a whole answer."""
        length = (b"content-length", str(len(body)).encode("ascii"))
        self.start(status, (*headers, length))
        self.write(body)
        self.end()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look whole."""
        if not self.ended:
            self.ended = True
            self._connection.abort()

    def note_gone(self) -> None:
        """Take the loss of the connection."""
        if not self.ended:
            self.ended = True
            self.on_gone()


def _ignore() -> None:
    """Nothing has to be stopped."""
