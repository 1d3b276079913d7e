"""Requests that began to run, by window and customer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class UsageCounter:
    """Counts the requests of this VM until they are in the store."""

    def __init__(self, seconds: float, wall_clock: Callable[[], float]) -> None:
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._windows: dict[int, dict[str, int]] = {}

    def count(self, customer: str) -> None:
        """Take a request that began to run now."""
        window = int(self._wall_clock() // self._seconds)
        counts = self._windows.setdefault(window, {})
        counts[customer] = counts.get(customer, 0) + 1

    def take(self, before: int) -> dict[int, dict[str, int]]:
        """Return and drop the counts of all windows before one."""
        taken = {
            window: counts
            for window, counts in self._windows.items()
            if window < before
        }
        for window in taken:
            del self._windows[window]
        return taken

    def put_back(self, windows: dict[int, dict[str, int]]) -> None:
        """Take back counts that did not reach the store."""
        for window, counts in windows.items():
            kept = self._windows.setdefault(window, {})
            for customer, count in counts.items():
                kept[customer] = kept.get(customer, 0) + count
