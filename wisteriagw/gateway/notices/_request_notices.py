"""Notices of backend servers, as they concern one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.outcomes import RefusedNotRun
from wisteriagw.placement import spread_return
from wisteriagw.platform import decode_notices

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.connections import ResponseHead
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext


class RequestNotices:
    """Records the notices in the answers to a request, and keeps to those known."""

    def __init__(self, context: GatewayContext, request_id: bytes) -> None:
        self._context = context
        self._request_id = request_id

    def record(self, server: BackendServer, head: ResponseHead) -> None:
        """Record what a server says of itself in a response."""
        for notice in decode_notices(head, self._request_id, server):
            self._context.notices.record(notice)

    def count(self, server: str) -> None:
        """Count a request that is sent to a server against its limit."""
        context = self._context
        known = context.fleet.fleet.servers.get(server)
        if known is not None:
            context.notices.limiter.take(known, context.reactor.seconds())

    def permit(self, server: BackendServer | None) -> bool:
        """Return whether a server that was chosen before may still get the request."""
        if server is None or server.leaving:
            return False
        now = self._context.reactor.seconds()
        return not self._context.notices.table.find_pause(server, now)

    def permit_lifetime(self, server: BackendServer) -> bool:
        """Return whether a server has not restarted, and takes requests."""
        known = self._context.fleet.fleet.servers.get(server.name)
        if known is None or known.born != server.born:
            return False
        return self.permit(known)

    def refuse(
        self, servers: Iterable[BackendServer], deadline: float
    ) -> RefusedNotRun | None:
        """Return the refusal if some of the servers take the request later, or None."""
        context = self._context
        now = context.reactor.seconds()
        waits = []
        for server in servers:
            wait = context.notices.find_wait(server, now)
            if wait:
                waits.append(wait)
        if not waits:
            return None
        # All callers that are refused until then must not return together.
        spread = spread_return(max(0.0, deadline - now), context.draw())
        message = f"the backend servers want no requests for {min(waits):.2f} s"
        return RefusedNotRun("backpressure", message, max(min(waits), spread))
