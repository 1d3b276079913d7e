"""Log client of a process that can be paused."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from tests.support._memory_log import MemoryLog


class HeldLog:
    """LogClient whose calls take effect at once but complete on ``deliver``."""

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self._results: list[tuple[Deferred[Any], Any]] = []

    def append(self, stream: str, data: bytes) -> Deferred[int]:
        """Append to the log and hold the result."""
        return self._hold(self._log.append(stream, data))

    def read(self, stream: str, start: int, limit: int) -> Deferred[Any]:
        """Read from the log and hold the result."""
        return self._hold(self._log.read(stream, start, limit))

    def deliver(self) -> None:
        """Deliver one result to the process, in the order of its calls."""
        if self._results:
            waiting, result = self._results.pop(0)
            waiting.callback(result)

    def _hold(self, done: Deferred[Any]) -> Deferred[Any]:
        waiting: Deferred[Any] = Deferred()
        done.addBoth(lambda result: self._results.append((waiting, result)))
        return waiting
