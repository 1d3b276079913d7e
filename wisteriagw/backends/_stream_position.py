"""Position of an entry process in an engine's stream."""

from __future__ import annotations

from typing import NamedTuple


class StreamPosition(NamedTuple):
    """The attempt whose events count and the index of the next one."""

    attempt: bytes
    next_index: int
