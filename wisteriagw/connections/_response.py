"""Response to a sent request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from wisteriagw.connections._buffer_budget import BufferBudget
from wisteriagw.connections._response_lost import ResponseLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections._response_head import ResponseHead

# Reading from the connection is paused while more than this is queued.
MAX_QUEUED_BYTES = 262_144
# Default limit for a body that is read as a whole; no call of the platform has one of
# this size.
MAX_BODY_BYTES = 8_388_608


class Response:
    """Response that is being received: its head, then the parts of its body.

    The budget counts its body until ``abort``, which its reader calls in any case.

    Attributes
    ----------
    head : ResponseHead or None
        None until it has arrived.
    accepts : callable
        Whether a response with the given head belongs to the request; others are
        skipped.
    parts_read : int
        Parts of the body, such as chunks, that were read.
    abandoned : bool
        Whether the rest of the response is not read any more.
    """

    def __init__(
        self,
        accepts: Callable[[ResponseHead], bool],
        abort: Callable[[], None],
        set_reading: Callable[[bool], None] = lambda reading: None,
        budget: BufferBudget | None = None,
    ) -> None:
        self.head: ResponseHead | None = None
        self.accepts = accepts
        self.ended = False
        self._abort = abort
        self._set_reading = set_reading
        self.parts_read = 0
        self.abandoned = False
        self._budget = budget or BufferBudget()
        self._kept_bytes = 0
        self._queued_bytes = 0
        self._queued_parts = 0
        self._paused = False
        self._queue: list[bytes] = []
        # Not the error itself: its traceback would keep its readers' data.
        self._loss: str | None = None
        self._waiting: Deferred[None] | None = None

    async def read_head(self) -> ResponseHead:
        """Return the head once it has arrived; may raise ResponseLostError."""
        while self.head is None:
            if self._loss is not None:
                raise ResponseLostError(self._loss)
            await self._wait()
        return self.head

    async def read_part(self) -> bytes | None:
        """Return what has arrived of the body, or None at its end.

        Raises ResponseLostError if the connection is lost before the end.
        """
        while not self._queue:
            if self.ended:
                return None
            if self._loss is not None:
                raise ResponseLostError(self._loss)
            await self._wait()
        queue, self._queue = self._queue, []
        self.parts_read += self._queued_parts
        self._queued_bytes = self._queued_parts = 0
        self._resume()
        self._count()
        return queue[0] if len(queue) == 1 else b"".join(queue)

    async def wait_for_body(self) -> bool:
        """Wait until a part of the body or its end has arrived, and read nothing.

        Returns whether there is a part. Raises ResponseLostError like ``read_part``.
        """
        while not self._queue:
            if self.ended:
                return False
            if self._loss is not None:
                raise ResponseLostError(self._loss)
            await self._wait()
        return True

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body.

        Raises ResponseLostError, and closes the connection, if it is larger than
        ``max_bytes``: the server may send without end.
        """
        # The overhead of a list of small parts would be many times their size.
        body = bytearray()
        while True:
            part = await self.read_part()
            if part is None:
                return bytes(body)
            body += part
            if len(body) > max_bytes:
                self.abort()
                raise ResponseLostError(f"body exceeds {max_bytes} bytes")
            # The wait for the next part must not keep this one.
            del part
            self.keep(len(body))

    def keep(self, size: int) -> None:
        """Record how many bytes of the body its reader keeps."""
        self._kept_bytes = size
        self._count()

    def abort(self) -> None:
        """Close the connection unless the response is complete, and free the body."""
        if not self.ended and self._loss is None:
            self._abort()
        self.abandoned = True
        self._clear()

    def drop_buffer(self, reason: str) -> None:
        """Fail the readers because the body takes too much memory."""
        if not self.ended and self._loss is None:
            self._abort()
        self.abandoned, self.ended = True, False
        self._clear()
        self.handle_loss(reason)

    def handle_head(self, head: ResponseHead) -> None:
        """Store the head received by the connection."""
        self.head = head
        self._wake()

    def handle_part(self, data: bytes, parts: int = 1) -> None:
        """Queue a part of the body, or several joined ones."""
        if self.abandoned:
            return
        self._queue.append(data)
        self._queued_bytes += len(data)
        self._queued_parts += parts
        self._count()
        if not self._paused and self._queued_bytes > MAX_QUEUED_BYTES:
            self._paused = True
            self._set_reading(False)
        self._wake()

    def handle_end(self) -> None:
        """Mark the body as complete."""
        if self.abandoned:
            return
        self.ended = True
        # The connection may carry another request before the queued parts are read.
        self._resume()
        self._wake()

    def handle_loss(self, reason: str) -> None:
        """Fail the readers because the connection was lost."""
        if self.ended or self._loss is not None:
            return
        self._loss = reason
        self._wake()

    def _count(self) -> None:
        self._budget.set_size(self, self._queued_bytes + self._kept_bytes)

    def _clear(self) -> None:
        self._queue.clear()
        self._queued_bytes = self._queued_parts = self._kept_bytes = 0
        self._count()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self._set_reading(True)

    def _wait(self) -> Deferred[Any]:
        self._waiting = Deferred()
        return self._waiting

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)
