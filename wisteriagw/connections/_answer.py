"""Answer that is being received."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw.connections._answer_lost import AnswerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._answer_head import AnswerHead


class Answer:
    """Head and parts of an answer, read one at a time.

    Attributes
    ----------
    head : AnswerHead or None
        None until it has arrived.
    accepts : callable
        Tells by the head whether an answer belongs to the request; others are skipped.
    """

    def __init__(
        self, accepts: Callable[[AnswerHead], bool], abort: Callable[[], None]
    ) -> None:
        self.head: AnswerHead | None = None
        self.accepts = accepts
        self.ended = False
        self._abort = abort
        self._parts: deque[bytes] = deque()
        self._error: Exception | None = None
        self._waiting: Deferred[None] | None = None

    async def read_head(self) -> AnswerHead:
        """Return the head once it is there, or fail with AnswerLostError."""
        while self.head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self.head

    async def read_part(self) -> bytes | None:
        """Return the next part of the body, None at its end, or fail."""
        while not self._parts:
            if self.ended:
                return None
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._parts.popleft()

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while True:
            part = await self.read_part()
            if part is None:
                return b"".join(parts)
            parts.append(part)

    def abort(self) -> None:
        """Close the connection unless the answer is whole."""
        if not self.ended and self._error is None:
            self._abort()

    def take_head(self, head: AnswerHead) -> None:
        """Take the head from the connection."""
        self.head = head
        self._wake()

    def take_part(self, data: bytes) -> None:
        """Take a part of the body from the connection."""
        self._parts.append(data)
        self._wake()

    def take_end(self) -> None:
        """Take the end of the body from the connection."""
        self.ended = True
        self._wake()

    def take_loss(self, reason: str) -> None:
        """Take the loss of the connection."""
        if self.ended or self._error is not None:
            return
        self._error = AnswerLostError(reason)
        self._wake()

    def _wait(self) -> Deferred[Any]:
        self._waiting = Deferred()
        return self._waiting

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)
