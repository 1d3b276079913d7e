"""Copies of other processes' usage."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Windows older than this many are sealed.
KEPT_WINDOWS = 6


class UsageCopies:
    """Counts that peers have sent, so that they outlive the process that counted."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, dict[str, int]]] = {}

    def take(self, incarnation: str, rows: Iterable[tuple[int, str, int]]) -> None:
        """Take rows of window, customer and count; a count never falls."""
        for window, customer, count in rows:
            processes = self._counts.setdefault(window, {})
            counts = processes.setdefault(incarnation, {})
            counts[customer] = max(count, counts.get(customer, 0))

    def get(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a window by process."""
        return self._counts.get(window, {})

    def prune(self, window: int) -> None:
        """Drop what lies well before a window."""
        for known in list(self._counts):
            if known < window - KEPT_WINDOWS:
                del self._counts[known]
