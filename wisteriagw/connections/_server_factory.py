"""Listener for callers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

from wisteriagw.connections._server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._http_request import HttpRequest
    from wisteriagw.connections._responder import Responder
    from wisteriagw.routes import CallerLimits

logger = logging.getLogger(__name__)


class ServerFactory(Factory):
    """Builds a connection for each caller and bounds their idle time.

    Attributes
    ----------
    limits : CallerLimits
        Bounds in force.
    closing : bool
        Whether answers tell the callers to close.
    connections : set of ServerConnection
        Open connections.
    refused : int
        Requests that could not be read.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[HttpRequest, Responder], None],
        limits: CallerLimits,
        clock: Callable[[], float],
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self.refused = 0

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def note_refusal(self, status: int) -> None:
        """Count a request that could not be read."""
        self.refused += 1
        logger.info("refused a request that cannot be read with status %d", status)

    def close_idle(self) -> None:
        """Close connections that are idle, or send a request, for too long."""
        now = self.clock()
        for connection in list(self.connections):
            if connection.responder is not None:
                continue
            bound = self.limits.idle_timeout
            if connection.reading:
                bound = self.limits.header_timeout
            if now - connection.waiting_since > bound:
                connection.close()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(
            1
            for connection in self.connections
            if connection.responder is not None or connection.reading
        )
