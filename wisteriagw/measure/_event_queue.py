"""Event queue in virtual time."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


class EventQueue:
    """Calls ordered by virtual time; calls at equal times run in insertion order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def add(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call after a delay in seconds."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, args))

    def run(self, until: float) -> None:
        """Run all calls that are due up to a time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call, args = heapq.heappop(heap)
            call(*args)
        self.now = until
