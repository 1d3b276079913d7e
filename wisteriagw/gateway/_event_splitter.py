"""Splitting of an event stream into complete events."""

from __future__ import annotations

import re

from wisteriagw.connections import ResponseLostError

EVENT_ID = re.compile(rb"^id:\s*(\d+)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
# The end of an event may begin this many bytes before the chunk that completes it.
MAX_EVENT_END_BYTES = 4
# A server may send an event without end; tokens need a tiny part of this.
MAX_EVENT_BYTES = 1_048_576


class EventSplitter:
    """Buffers the chunks of a stream until events are complete.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was passed on.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that a chunk completes, without those passed on before.

        Raises ResponseLostError if an event exceeds ``MAX_EVENT_BYTES``.
        """
        searched = max(0, len(self._buffer) - MAX_EVENT_END_BYTES)
        self._buffer += data
        end = 0
        complete: list[bytes] = []
        for match in EVENT_END.finditer(self._buffer, searched):
            event = self._buffer[end : match.end()]
            end = match.end()
            id_match = EVENT_ID.search(event)
            if id_match:
                number = int(id_match[1])
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            complete.append(event)
        self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseLostError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return b"".join(complete)

    def pop_incomplete(self) -> bytes:
        """Return the bytes after the last complete event, and clear the buffer."""
        incomplete, self._buffer = self._buffer, b""
        return incomplete
