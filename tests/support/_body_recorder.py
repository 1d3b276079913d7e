"""Recorder of a response body, complete or truncated."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyRecorder(Protocol):
    """Records a body; ``finished`` fires with whether it is complete."""

    def __init__(self) -> None:
        self.data = b""
        self.finished: Deferred[bool] = Deferred()
        self._waiting: tuple[int, Deferred[None]] | None = None

    @property
    def indexes(self) -> list[int]:
        """Indexes of the token events so far."""
        lines = self.data.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    def wait_for_tokens(self, count: int) -> Deferred[None]:
        """Return a deferred that fires once this many tokens were received."""
        waiting: Deferred[None] = Deferred()
        self._waiting = (count, waiting)
        self._check()
        return waiting

    def dataReceived(self, data: bytes) -> None:
        """Record the data."""
        self.data += data
        self._check()

    def connectionLost(self, reason: Failure) -> None:
        """Fire ``finished`` with whether the body is complete."""
        self.finished.callback(reason.check(ResponseDone) is not None)

    def _check(self) -> None:
        if self._waiting is None or self.data.count(b"id: ") < self._waiting[0]:
            return
        waiting, self._waiting = self._waiting[1], None
        waiting.callback(None)
