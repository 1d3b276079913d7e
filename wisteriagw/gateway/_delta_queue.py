"""Rows that wait for the next message."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._deltas import Deltas

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prompt parts in one message, which keeps it within the buffer of a connection; what is
# left waits for the next one.
MAX_ROWS = 400
# Parts that wait beyond this are dropped; they are found again by their next use.
MAX_WAITING = 20_000


class DeltaQueue:
    """Collects rows between two messages."""

    def __init__(self) -> None:
        self._parts: list[tuple] = []
        self._away: list[tuple] = []
        self._results: list[tuple] = []

    def add_parts(self, rows: Iterable[tuple]) -> None:
        """Take rows of backend server, prompt part and tokens."""
        self._parts.extend(rows)
        del self._parts[MAX_WAITING:]

    def add_away(self, rows: Iterable[tuple]) -> None:
        """Take rows of backend server and seconds."""
        self._away.extend(rows)

    def add(self, deltas: Deltas) -> None:
        """Take all rows of a message."""
        self.add_parts(deltas.parts)
        self.add_away(deltas.away)
        self._results.extend(deltas.results)

    def take(self) -> Deltas:
        """Return the rows of the next message."""
        parts, self._parts = self._parts[:MAX_ROWS], self._parts[MAX_ROWS:]
        away, self._away = self._away, []
        results, self._results = self._results, []
        return Deltas(tuple(parts), tuple(away), tuple(results))
