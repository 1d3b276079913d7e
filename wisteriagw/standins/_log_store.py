"""Streams of the log stand-in, kept in memory."""

from __future__ import annotations

from collections import deque

from wisteriagw.clients import LogPage, LogRecord


class LogStore:
    """Append-only streams with offsets and limited retention."""

    def __init__(self, max_records: int) -> None:
        self._max_records = max_records
        self._streams: dict[str, deque[LogRecord]] = {}
        self._next_offsets: dict[str, int] = {}

    def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        offset = self._next_offsets.get(stream, 0)
        self._next_offsets[stream] = offset + 1
        records = self._streams.setdefault(stream, deque())
        records.append(LogRecord(offset, data))
        while len(records) > self._max_records:
            records.popleft()
        return offset

    def read(self, stream: str, start: int, limit: int) -> LogPage:
        """Return records from an offset on."""
        next_offset = self._next_offsets.get(stream, 0)
        records = self._streams.get(stream, deque())
        first_offset = records[0].offset if records else next_offset
        index = max(start, first_offset) - first_offset
        found = [records[i] for i in range(index, min(index + limit, len(records)))]
        return LogPage(first_offset, next_offset, tuple(found))
