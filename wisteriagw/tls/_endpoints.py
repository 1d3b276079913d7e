"""TLS for Twisted listeners and client endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.endpoints import wrapClientTLS
from twisted.protocols.tls import TLSMemoryBIOFactory

if TYPE_CHECKING:
    from twisted.internet.interfaces import IListeningPort

    from wisteriagw.tls._connection_creator import ConnectionCreator


def listen_tls(
    reactor: Any, address: tuple[str, int], factory: Any, creator: ConnectionCreator
) -> IListeningPort:
    """Listen with TLS."""
    host, port = address
    wrapped = TLSMemoryBIOFactory(creator, False, factory)
    return reactor.listenTCP(port, wrapped, interface=host)


def wrap_client_endpoint(endpoint: Any, creator: ConnectionCreator) -> Any:
    """Return an endpoint that connects with TLS."""
    return wrapClientTLS(creator, endpoint)
