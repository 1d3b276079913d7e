"""Event of the prefix cache of an engine."""

from __future__ import annotations

from typing import NamedTuple


class CacheEvent(NamedTuple):
    """Blocks that an engine cached and evicted; ``sequence`` reveals lost events."""

    backend_server: str
    sequence: int
    added: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()
