"""Connections with TLS."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.task import LoopingCall

from wisteriagw.tls import ConnectionCreator, listen_tls, wrap_client_endpoint

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort

    from wisteriagw.tls import TlsFiles

RELOAD_INTERVAL_SECONDS = 5.0


class TlsTransport:
    """Listens and connects with TLS; raises OSError or SSL.Error on unusable files."""

    def __init__(self, files: TlsFiles) -> None:
        self._creator = ConnectionCreator(files)

    def listen(
        self, reactor: Any, address: tuple[str, int], factory: Any
    ) -> IListeningPort:
        """Listen on an address."""
        return listen_tls(reactor, address, factory, self._creator)

    def wrap_endpoint(self, endpoint: Any) -> Any:
        """Return the client endpoint to connect with."""
        return wrap_client_endpoint(endpoint, self._creator)

    def watch_files(self, reactor: Any) -> None:
        """Use replaced certificates for new connections; open connections stay."""
        reload_loop = LoopingCall(self._creator.reload)
        reload_loop.clock = reactor
        reload_loop.start(RELOAD_INTERVAL_SECONDS, now=False)
