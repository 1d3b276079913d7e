"""Counts of the requests that began to run, by window and customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Windows that are kept after they were written, for late requests of peers.
KEPT_WINDOWS = 4


class UsageCounter:
    """Counts the requests of this process; counts of a window never decrease."""

    def __init__(self, seconds: float, wall_clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._windows: dict[int, dict[str, int]] = {}
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

    def list_unwritten(self, before: int) -> dict[int, dict[str, int]]:
        """Return the windows before one that may not be stored yet, also empty ones."""
        return {
            window: self._windows.get(window, {})
            for window in range(self._first_unwritten, before)
        }

    def record_written(self, before: int) -> None:
        """Record that all windows before one are stored."""
        self._first_unwritten = max(self._first_unwritten, before)
        for window in list(self._windows):
            if window < before - KEPT_WINDOWS:
                del self._windows[window]
