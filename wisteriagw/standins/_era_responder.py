"""Responder of the store stand-in that names the era in each response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.connections import Responder
    from wisteriagw.standins._store_server import StoreServer


class EraResponder:
    """Adds the era of the store, as of the response, to its headers."""

    def __init__(self, responder: Responder, server: StoreServer) -> None:
        self._responder = responder
        self._server = server

    @property
    def ended(self) -> bool:
        """Whether the response or the connection has ended."""
        return self._responder.ended

    def reply(self, status: int, headers: tuple = (), body: bytes = b"") -> None:
        """Send a complete response."""
        era = self._server.era
        if era is not None:
            headers = (*headers, (b"store-era", b"%d" % era))
        self._responder.reply(status, headers, body)

    def abort(self) -> None:
        """Close the connection without a response."""
        self._responder.abort()
