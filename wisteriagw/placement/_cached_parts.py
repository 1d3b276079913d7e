"""Prompt parts that engines are estimated to have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Running requests share the memory with cached parts, so not all of it is counted on.
USABLE_FRACTION = 0.8


class CachedParts:
    """Cached parts by engine, the least recently used first.

    Engines do not report evictions, so this is an estimate: a part counts as cached
    while the parts used after it fit into the engine's memory.
    """

    def __init__(self) -> None:
        self._parts: dict[str, OrderedDict[str, int]] = {}
        self._tokens: dict[str, int] = {}

    def count_tokens(self, server: str, parts: Iterable[tuple[str, int]]) -> int:
        """Return the tokens of the leading parts that an engine has cached."""
        cached = self._parts.get(server)
        if not cached:
            return 0
        tokens = 0
        for part, size in parts:
            if part not in cached:
                break
            tokens += size
        return tokens

    def record_use(
        self, server: str, parts: Iterable[tuple[str, int]], capacity: int
    ) -> list[tuple[str, int]]:
        """Record that an engine used parts; return those that were not cached."""
        cached = self._parts.setdefault(server, OrderedDict())
        tokens = self._tokens.get(server, 0)
        added = []
        for part, size in parts:
            if part in cached:
                cached.move_to_end(part)
                continue
            cached[part] = size
            tokens += size
            added.append((part, size))
        while tokens > capacity * USABLE_FRACTION and cached:
            _, size = cached.popitem(last=False)
            tokens -= size
        self._tokens[server] = tokens
        return added

    def list_parts(self) -> list[tuple[str, str, int]]:
        """Return rows of engine, part and tokens, the least recently used first."""
        return [
            (server, part, size)
            for server, cached in self._parts.items()
            for part, size in cached.items()
        ]

    def remove_server(self, server: str) -> None:
        """Remove the parts of an engine that has ended or restarted."""
        self._parts.pop(server, None)
        self._tokens.pop(server, None)
