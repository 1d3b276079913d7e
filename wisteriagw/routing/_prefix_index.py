"""Index of the prompt blocks that engines hold."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routing._cache_event import CacheEvent

MAX_BLOCKS = 100_000
# A block known at many engines needs no further holders: the candidates are at most 4.
MAX_HOLDERS = 8
MAX_CANDIDATES = 4


class PrefixIndex:
    """Engines that hold each block, by the block's cumulative hash.

    Events come late and with gaps, so the index is a hint: a wrong entry costs a
    prefill and never an answer. Blocks are dropped in order of their last use.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[str, None]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self.lost_events = 0

    def apply(self, event: CacheEvent) -> None:
        """Take in an event; an event that is older than the last changes nothing."""
        last = self._sequences.get(event.backend_server, event.sequence - 1)
        if event.sequence <= last:
            return
        self.lost_events += event.sequence - last - 1
        self._sequences[event.backend_server] = event.sequence
        self.add(event.backend_server, event.added)
        for block in event.dropped:
            holders = self._holders.get(block)
            if holders is not None:
                holders.pop(event.backend_server, None)

    def add(self, backend_server: str, blocks: tuple[int, ...]) -> None:
        """Record that an engine holds blocks, or will once a sent prompt is done."""
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders.pop(backend_server, None)
            holders[backend_server] = None
            if len(holders) > MAX_HOLDERS:
                holders.pop(next(iter(holders)))
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def forget(self, backend_server: str) -> None:
        """Drop an engine that lost its cache."""
        self._sequences.pop(backend_server, None)
        for holders in self._holders.values():
            holders.pop(backend_server, None)

    def find(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the engines with the longest prefixes, and the blocks each holds."""
        found: dict[str, int] = {}
        for count in range(len(blocks), 0, -1):
            for holder in self._holders.get(blocks[count - 1], ()):
                found.setdefault(holder, count)
                if len(found) >= MAX_CANDIDATES:
                    return found
        return found
