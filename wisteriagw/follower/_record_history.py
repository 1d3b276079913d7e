"""History of the newest records of a stream."""

from __future__ import annotations

from collections import deque


class RecordHistory:
    """Newest records of a stream, for peers, up to a maximum total size.

    A peer that needs older ones has to read the log or a checkpoint.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._records: deque[tuple[int, bytes]] = deque()

    def add(self, offset: int, data: bytes) -> None:
        """Add a record; the oldest ones are evicted beyond the maximum size.

        A record that does not follow the last one clears the history first: after a
        start from a checkpoint, a peer must not get records with a gap between them.
        """
        if self._records and offset != self._records[-1][0] + 1:
            self._records.clear()
            self._size = 0
        self._records.append((offset, data))
        self._size += len(data)
        while self._size > self._max_bytes and len(self._records) > 1:
            self._size -= len(self._records.popleft()[1])

    def list_from(self, start: int, max_bytes: int) -> tuple[tuple[int, bytes], ...]:
        """Return one or more records from an offset on, or none if it was evicted."""
        if not self._records or self._records[0][0] > start:
            return ()
        found: list[tuple[int, bytes]] = []
        size = 0
        for offset, data in self._records:
            if offset < start:
                continue
            size += len(data)
            if found and size > max_bytes:
                break
            found.append((offset, data))
        return tuple(found)
