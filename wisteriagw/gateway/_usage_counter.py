"""Counts of the requests that began to run, by window and customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._due_usage import NO_WINDOW
from wisteriagw.gateway._usage_digest import compute_usage_digest

if TYPE_CHECKING:
    from collections.abc import Callable

# Windows that are kept after they were written, for late requests of peers.
KEPT_WINDOWS = 4
# Delay after the end of a window, for requests that begin at its boundary.
WRITE_DELAY_SECONDS = 0.3


class UsageCounter:
    """Counts the requests of this process; counts of a window never decrease."""

    def __init__(self, seconds: float, wall_clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._windows: dict[int, dict[str, int]] = {}
        self._stored: dict[int, int] = {}
        self._first_unwritten = self.get_window()

    def get_window(self) -> int:
        """Return the current window."""
        return int(self._wall_clock() // self._seconds)

    def count(self, customer: str) -> None:
        """Count a request that begins to run now."""
        counts = self._windows.setdefault(self.get_window(), {})
        counts[customer] = counts.get(customer, 0) + 1

    def list_rows(self, windows: int) -> list[tuple[int, str, int]]:
        """Return rows of window, customer and count of the newest windows."""
        oldest = self.get_window() - windows + 1
        return [
            (window, customer, count)
            for window, counts in self._windows.items()
            if window >= oldest
            for customer, count in counts.items()
        ]

    def find_closed(self) -> int:
        """Return the window before the current one if it has ended and is not stored.

        -1 if there is none.
        """
        current = self.get_window()
        if self._wall_clock() - current * self._seconds < WRITE_DELAY_SECONDS:
            return NO_WINDOW
        closed = current - 1
        return closed if closed in self.list_unwritten(current) else NO_WINDOW

    def list_unwritten(self, before: int) -> dict[int, dict[str, int]]:
        """Return the windows before one that may not be stored yet, also empty ones."""
        unwritten = {}
        for window in range(self._first_unwritten, before):
            if self._stored.get(window) != self.compute_digest(window):
                unwritten[window] = self._windows.get(window, {})
        return unwritten

    def compute_digest(self, window: int) -> int:
        """Return the digest of the counts of a window."""
        return compute_usage_digest(self._windows.get(window, {}))

    def record_stored(self, window: int, digest: int) -> None:
        """Record the digest of this process's counts that a relay has stored."""
        self._stored[window] = digest

    def record_written(self, before: int) -> None:
        """Record that all windows before one are stored."""
        self._first_unwritten = max(self._first_unwritten, before)
        for window in list(self._windows):
            if window < before - KEPT_WINDOWS:
                del self._windows[window]
        for window in [w for w in self._stored if w < before - KEPT_WINDOWS]:
            del self._stored[window]
