"""Detection of engines that ended without closing their connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred, TimeoutError

from wisteriagw.connections import Reachability
from wisteriagw.gateway._engine_unreachable import EngineUnreachableError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from wisteriagw.gateway._server_access import ServerAccess

# Limit for a stream that is already silent for longer, in seconds.
MIN_WAIT_SECONDS = 0.05


class LossDetector:
    """Waits for data of a run, and checks whether a silent engine still runs it.

    A machine that loses power resets no connection. One that accepts a new connection
    is busy or slow: its run goes on and must not start again elsewhere.
    """

    def __init__(self, access: ServerAccess) -> None:
        self._access = access

    async def wait(
        self, server: str, read: Callable[[], Coroutine[Any, Any, Any]], limit: float
    ) -> Any:
        """Return what ``read`` returns.

        Fails with EngineUnreachableError once there was no data for ``limit`` seconds
        and the server is unreachable. While it is reachable, the limit is doubled after
        each check.
        """
        context = self._access.context
        limit = max(MIN_WAIT_SECONDS, limit)
        while True:
            since = context.reactor.seconds()
            reading = Deferred.fromCoroutine(read())
            reading.addTimeout(limit, context.reactor)
            try:
                return await reading
            except TimeoutError:
                silent = not context.work.has_answered(server, since)
            if silent and not await self._is_reachable(server):
                # Data that arrived during the check is still read.
                reading = Deferred.fromCoroutine(read())
                if reading.called:
                    return await reading
                reading.addErrback(lambda failure: failure.trap(CancelledError))
                reading.cancel()
                raise EngineUnreachableError(
                    f"silent for {limit:.2f} s and accepts no connection"
                )
            limit *= 2

    async def _is_reachable(self, server: str) -> bool:
        address = self._access.find_address(server)
        if address is None:
            # It left the register; until its connections close, the run may go on.
            return True
        probed = await self._access.context.pool.probe(address)
        return probed is Reachability.OPEN
