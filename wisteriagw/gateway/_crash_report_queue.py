"""Queue of reports on crashes for the next message to peers."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from wisteriagw.messages import CrashReports

if TYPE_CHECKING:
    from collections.abc import Iterable

# Rows of each kind in one message, which keeps it within the buffer of a connection.
MAX_SENT_ROWS = 200
# An engine has a few hundred requests open. Rows beyond this are dropped, the oldest
# first; their parts are reported again at the next crash.
MAX_QUEUED_ROWS = 2_000


class CrashReportQueue:
    """Collects reports between two messages; their ages are those at the sending."""

    def __init__(self) -> None:
        self._crashes: deque[tuple] = deque(maxlen=MAX_QUEUED_ROWS)
        self._sound_answers: deque[tuple] = deque(maxlen=MAX_QUEUED_ROWS)

    def add_crash(
        self, crash: str, parts: tuple[str, ...], at: float, came_at: float
    ) -> None:
        """Add the parts of a request that came to an engine before it ended."""
        self._crashes.append((crash, parts, at, came_at))

    def add_sound_answer(self, part: str, at: float) -> None:
        """Add the last sound answer on a part."""
        self._sound_answers.append((part, at))

    def add_all(self, reports: CrashReports, now: float) -> None:
        """Add the reports of a peer."""
        for crash, parts, age, open_seconds in reports.crashes:
            at = now - age
            self.add_crash(crash, tuple(parts), at, at - open_seconds)
        for part, age in reports.sound_answers:
            self.add_sound_answer(part, now - age)

    def pop(self, now: float) -> CrashReports:
        """Remove and return the reports of the next message."""
        return CrashReports(
            tuple(
                (crash, parts, now - at, at - came_at)
                for crash, parts, at, came_at in pop_rows(self._crashes)
            ),
            tuple((part, now - at) for part, at in pop_rows(self._sound_answers)),
        )


def pop_rows(rows: deque[tuple]) -> Iterable[tuple]:
    """Remove and return the first rows."""
    return [rows.popleft() for _ in range(min(len(rows), MAX_SENT_ROWS))]
