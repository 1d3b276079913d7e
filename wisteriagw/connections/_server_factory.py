"""Factory of server connections."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.protocol import Factory

from wisteriagw.connections._buffer_budget import BufferBudget
from wisteriagw.connections._server_connection import ServerConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._http_request import HttpRequest
    from wisteriagw.connections._responder import Responder
    from wisteriagw.routes import CallerLimits

logger = logging.getLogger(__name__)


class ServerFactory(Factory):
    """Builds server connections and enforces their idle timeouts.

    Attributes
    ----------
    limits : CallerLimits
        Limits in force.
    budget : BufferBudget
        Bound on the bodies of requests.
    response_budget : BufferBudget
        Bound on the bytes of responses that callers have not read.
    closing : bool
        Whether responses carry ``Connection: close``.
    connections : set of ServerConnection
        Open connections.
    refused : int
        Number of malformed or oversized requests.
    """

    noisy = False

    def __init__(
        self,
        handle: Callable[[HttpRequest, Responder], None],
        limits: CallerLimits,
        clock: Callable[[], float],
        budget: BufferBudget | None = None,
        response_budget: BufferBudget | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.budget = budget or BufferBudget()
        self.response_budget = response_budget or BufferBudget()
        self.closing = False
        self.connections: set[ServerConnection] = set()
        self.refused = 0

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Return the protocol of a new connection."""
        return ServerConnection(self)

    def record_refusal(self, status: int) -> None:
        """Count and log a malformed or oversized request."""
        self.refused += 1
        logger.info("refused a malformed or oversized request with status %d", status)

    def close_idle(self) -> None:
        """Close connections that exceed the idle or the request header timeout.

        One that is still open after twice that time is aborted: its caller does not
        read the last writes. So is one whose caller has read nothing of a response for
        twice the idle timeout.
        """
        now = self.clock()
        for connection in list(self.connections):
            if connection.blocked:
                if now - connection.blocked_since > 2 * self.limits.idle_timeout:
                    connection.disconnect()
                continue
            if connection.responder is not None:
                continue
            timeout = self.limits.idle_timeout
            if connection.reading:
                timeout = self.limits.header_timeout
            idle = now - connection.waiting_since
            if idle > 2 * timeout:
                connection.abort()
            elif idle > timeout:
                connection.close()

    def count_busy(self) -> int:
        """Return the number of connections with a request in progress."""
        return sum(
            1
            for connection in self.connections
            if connection.responder is not None or connection.reading
        )
