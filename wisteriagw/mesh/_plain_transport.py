"""Connections without TLS."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort


class PlainTransport:
    """Listens and connects in plain text."""

    def listen(
        self, reactor: Any, address: tuple[str, int], factory: Any
    ) -> IListeningPort:
        """Listen on an address."""
        host, port = address
        return reactor.listenTCP(port, factory, interface=host)

    def wrap_endpoint(self, endpoint: Any) -> Any:
        """Return the client endpoint to connect with."""
        return endpoint

    def watch_files(self, reactor: Any) -> None:
        """Do nothing: there are no files."""
