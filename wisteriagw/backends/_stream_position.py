"""Read position of an entry process in an engine's stream."""

from __future__ import annotations

from typing import NamedTuple


class StreamPosition(NamedTuple):
    """The attempt whose events are accepted and the index of the next event."""

    attempt: bytes
    next_index: int
