"""Updates of this VM that relays may acknowledge."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from wisteriagw.gateway._sent_update import SentUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable

# Covers a few seconds; the acknowledgement of an older update is of no use.
KEPT_UPDATES = 32


class SentUpdateLog:
    """Keeps the time and the rows of sent updates by sequence number."""

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._sequence = 0
        self._updates: OrderedDict[int, SentUpdate] = OrderedDict()

    def add(self, work: tuple, sums: tuple, now: float) -> int:
        """Add an update that is sent now and return its sequence number."""
        self._sequence += 1
        self._updates[self._sequence] = SentUpdate(now, work, sums)
        if len(self._updates) > KEPT_UPDATES:
            self._updates.popitem(last=False)
        return self._sequence

    def find(self, received: Iterable[tuple]) -> tuple[SentUpdate, float] | None:
        """Return the last update that a relay received, and the seconds since then."""
        for vm, sequence, age in received:
            if vm == self._vm and sequence in self._updates:
                return self._updates[sequence], age
        return None
