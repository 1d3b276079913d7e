"""Call in progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.connections._connect_failed import ConnectFailedError
from wisteriagw.connections._response_lost import ResponseLostError
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.connections._connection_pool import ConnectionPool
    from wisteriagw.connections._http_request import HttpRequest
    from wisteriagw.connections._response import Response
    from wisteriagw.outcomes import Outcome


class Call:
    """A call in progress; cancelling it aborts its response."""

    def __init__(
        self,
        pool: ConnectionPool,
        address: tuple[str, int],
        request: HttpRequest,
        max_bytes: int,
    ) -> None:
        self.response: Response | None = None
        self._pool = pool
        self._address = address
        self._request = request
        self._max_bytes = max_bytes

    async def run(self) -> Outcome:
        """Send the request, read the response and return the outcome."""
        try:
            self.response = await self._pool.send(
                self._address, self._request, accepts=None
            )
        except ConnectFailedError as error:
            return FailedNotRun(str(error))
        try:
            head = await self.response.read_head()
            body = await self.response.read_body(self._max_bytes)
        except ResponseLostError as error:
            return MayHaveRun(str(error))
        finally:
            self.response.abort()
        content_type = head.find_header(b"content-type") or b""
        return Done(
            head.status, body, content_type.decode("latin-1"), tuple(head.headers)
        )
