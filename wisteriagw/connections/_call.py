"""Call that is under way."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.connections._answer_lost import AnswerLostError
from wisteriagw.connections._connect_failed import ConnectFailedError
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

if TYPE_CHECKING:
    from wisteriagw.connections._answer import Answer
    from wisteriagw.connections._answer_head import AnswerHead
    from wisteriagw.connections._connection_pool import ConnectionPool
    from wisteriagw.connections._http_request import HttpRequest
    from wisteriagw.outcomes import Outcome


class Call:
    """One call under way; its answer is aborted if the call is cancelled."""

    def __init__(
        self, pool: ConnectionPool, address: tuple[str, int], request: HttpRequest
    ) -> None:
        self.answer: Answer | None = None
        self._pool = pool
        self._address = address
        self._request = request

    async def run(self) -> Outcome:
        """Send the request and read the answer."""
        try:
            self.answer = await self._pool.send(
                self._address, self._request, _accept_any
            )
        except ConnectFailedError as error:
            return FailedNotRun(str(error))
        try:
            head = await self.answer.read_head()
            body = await self.answer.read_body()
        except AnswerLostError as error:
            return MayHaveRun(str(error))
        finally:
            self.answer.abort()
        content_type = head.find_header(b"content-type") or b""
        return Done(head.status, body, content_type.decode("latin-1"))


def _accept_any(head: AnswerHead) -> bool:
    return True
