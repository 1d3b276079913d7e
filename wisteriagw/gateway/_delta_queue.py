"""Queue of rows for the next update."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._deltas import Deltas

if TYPE_CHECKING:
    from collections.abc import Iterable

# Prompt parts in one message, which keeps it within the buffer of a connection; the
# rest is sent with the next one.
MAX_SENT_PARTS = 400
# Queued parts beyond this are dropped; they are recorded again at their next use.
MAX_QUEUED_PARTS = 20_000


class DeltaQueue:
    """Collects rows between two updates."""

    def __init__(self) -> None:
        self._parts: list[tuple] = []
        self._unavailable: list[tuple] = []
        self._results: list[tuple] = []

    def add_parts(self, rows: Iterable[tuple]) -> None:
        """Add rows of backend server, prompt part and tokens."""
        self._parts.extend(rows)
        del self._parts[MAX_QUEUED_PARTS:]

    def add_unavailable(self, rows: Iterable[tuple]) -> None:
        """Add rows of backend server and seconds."""
        self._unavailable.extend(rows)

    def add(self, deltas: Deltas) -> None:
        """Add all rows of an update."""
        self.add_parts(deltas.parts)
        self.add_unavailable(deltas.unavailable)
        self._results.extend(deltas.results)

    def pop(self) -> Deltas:
        """Remove and return the rows of the next update."""
        parts, self._parts = self._parts[:MAX_SENT_PARTS], self._parts[MAX_SENT_PARTS:]
        unavailable, self._unavailable = self._unavailable, []
        results, self._results = self._results, []
        return Deltas(tuple(parts), tuple(unavailable), tuple(results))
