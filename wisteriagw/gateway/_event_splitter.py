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
# Parts of a body, such as chunks, that one event may come in. Servers write an event at
# once; each part costs time, however small it is.
MAX_EVENT_PARTS = 1_024


class EventSplitter:
    """Buffers the chunks of a stream until events are complete.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that was passed on.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        # A bytearray grows in place; bytes would be copied with each chunk.
        self._buffer = bytearray()
        self._parts = 0

    def feed(self, data: bytes, parts: int = 1) -> bytes:
        """Return the events that a chunk completes, without those passed on before.

        Parameters
        ----------
        data : bytes
            Data of the chunk, or of several joined ones.
        parts : int
            Number of chunks in ``data``.

        Raises
        ------
        ResponseLostError
            If an event exceeds ``MAX_EVENT_BYTES`` or ``MAX_EVENT_PARTS``.
        """
        searched = max(0, len(self._buffer) - MAX_EVENT_END_BYTES)
        self._buffer += data
        self._parts += parts
        end = 0
        complete: list[bytes] = []
        # The ends are listed first: a buffer that is searched cannot be cut.
        for found in [m.end() for m in EVENT_END.finditer(self._buffer, searched)]:
            event = bytes(self._buffer[end:found])
            end = found
            id_match = EVENT_ID.search(event)
            if id_match:
                number = int(id_match[1])
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            complete.append(event)
        if end:
            del self._buffer[:end]
            self._parts = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseLostError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        if self._parts > MAX_EVENT_PARTS:
            raise ResponseLostError(f"event in more than {MAX_EVENT_PARTS} parts")
        return b"".join(complete)

    @property
    def incomplete_bytes(self) -> int:
        """Size of the data after the last complete event."""
        return len(self._buffer)

    def pop_incomplete(self) -> bytes:
        """Return the bytes after the last complete event, and clear the buffer."""
        incomplete, self._buffer = bytes(self._buffer), bytearray()
        self._parts = 0
        return incomplete
