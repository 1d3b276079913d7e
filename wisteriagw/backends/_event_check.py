"""Check of the events of an engine's stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.backends._stream_position import StreamPosition

ID_PREFIX = b"id: "


def read_event_index(event: bytes, position: StreamPosition) -> int | None:
    """Return the index of an event, or None if it belongs to another attempt."""
    if not event.startswith(ID_PREFIX):
        return None
    end = event.find(b"\n")
    attempt, separator, index = event[len(ID_PREFIX) : end].rpartition(b"/")
    if not separator or attempt != position.attempt or not index.isdigit():
        return None
    return int(index)
