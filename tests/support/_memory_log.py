"""In-memory log client with fault injection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import fail, succeed

from wisteriagw.clients import LogUnavailableError
from wisteriagw.standins._log_store import LogStore

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from wisteriagw.clients import LogPage


class MemoryLog:
    """LogClient over a LogStore; every call completes before it returns.

    Attributes
    ----------
    down : bool
        Calls fail and have no effect.
    lose_replies : int
        Number of appends that take effect but fail with a lost reply.
    hold_appends : bool
        Appends fail and take effect only on ``release``.
    """

    def __init__(self, max_records: int = 1_000_000) -> None:
        self.store = LogStore(max_records)
        self.down = False
        self.lose_replies = 0
        self.hold_appends = False
        self.appends = 0
        self.unavailable_calls = 0
        self._held: list[tuple[str, bytes]] = []

    def append(self, stream: str, data: bytes) -> Deferred[int]:
        """Append a record unless a fault is injected."""
        self.appends += 1
        if self.down:
            return fail(LogUnavailableError("down"))
        if self.hold_appends:
            self._held.append((stream, data))
            return fail(LogUnavailableError("no reply yet"))
        offset = self.store.append(stream, data)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return fail(LogUnavailableError("reply lost"))
        return succeed(offset)

    def read(self, stream: str, start: int, limit: int) -> Deferred[LogPage]:
        """Read records unless the log is down."""
        if self.down:
            return fail(LogUnavailableError("down"))
        return succeed(self.store.read(stream, start, limit))

    def tip(self, stream: str) -> int:
        """Return the offset that the next append gets."""
        return self.store.read(stream, 0, 0).next_offset

    def release(self) -> None:
        """Apply the held appends in their order."""
        held, self._held = self._held, []
        for stream, data in held:
            self.store.append(stream, data)
