"""Client for calls whose responses are read completely."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, TimeoutError

from wisteriagw.connections._call import Call
from wisteriagw.connections._http_request import HttpRequest
from wisteriagw.connections._response import MAX_BODY_BYTES
from wisteriagw.outcomes import FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.connections._connection_pool import ConnectionPool
    from wisteriagw.outcomes import Outcome


class CallClient:
    """Sends calls through a connection pool and classifies their outcomes."""

    def __init__(self, reactor: Any, pool: ConnectionPool) -> None:
        self._reactor = reactor
        self._pool = pool

    async def send(
        self,
        address: tuple[str, int],
        method: str,
        target: str,
        body: bytes = b"",
        timeout: float = 2.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        max_bytes: int = MAX_BODY_BYTES,
    ) -> Outcome:
        """Send a call and return its outcome; raises only if it is cancelled.

        A response whose body exceeds ``max_bytes`` counts as lost.
        """
        request = HttpRequest(
            method.encode("ascii"),
            target.encode("ascii"),
            (
                (b"host", f"{address[0]}:{address[1]}".encode("ascii")),
                (b"content-length", str(len(body)).encode("ascii")),
                *headers,
            ),
            body,
        )
        call = Call(self._pool, address, request, max_bytes)
        running = Deferred.fromCoroutine(call.run())
        running.addTimeout(timeout, self._reactor)
        try:
            return await running
        except TimeoutError:
            if call.response is None:
                return FailedNotRun(f"not connected within {timeout} s")
            return MayHaveRun(f"no response within {timeout} s")
