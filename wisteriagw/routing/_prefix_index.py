"""Index of the prompt blocks that engines have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routing._cache_event import CacheEvent

MAX_BLOCKS = 100_000
# Only MAX_CANDIDATES holders are ever used, so a block needs few known ones.
MAX_HOLDERS = 8
MAX_CANDIDATES = 4


class PrefixIndex:
    """Engines that have each block cached, by the block's cumulative hash.

    Events arrive late and with gaps, so the index is a hint: a wrong entry costs a
    prefill and never an answer. The least recently used blocks are dropped first.
    """

    def __init__(self) -> None:
        self._holders: OrderedDict[int, dict[str, None]] = OrderedDict()
        self._sequences: dict[str, int] = {}
        self.lost_events = 0

    def apply(self, event: CacheEvent) -> None:
        """Apply an event; one that is older than the last is ignored."""
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
        """Record that an engine has blocks cached, or will after a sent prompt."""
        for block in blocks:
            holders = self._holders.setdefault(block, {})
            holders.pop(backend_server, None)
            holders[backend_server] = None
            if len(holders) > MAX_HOLDERS:
                holders.pop(next(iter(holders)))
            self._holders.move_to_end(block)
        while len(self._holders) > MAX_BLOCKS:
            self._holders.popitem(last=False)

    def remove_server(self, backend_server: str) -> None:
        """Remove an engine that lost its cache."""
        self._sequences.pop(backend_server, None)
        for holders in self._holders.values():
            holders.pop(backend_server, None)

    def find(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the engines with the longest cached prefixes, with block counts."""
        found: dict[str, int] = {}
        for count in range(len(blocks), 0, -1):
            for holder in self._holders.get(blocks[count - 1], ()):
                found.setdefault(holder, count)
                if len(found) >= MAX_CANDIDATES:
                    return found
        return found
