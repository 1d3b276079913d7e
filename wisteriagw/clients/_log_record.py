"""One record as the log keeps it."""

from __future__ import annotations

from typing import NamedTuple


class LogRecord(NamedTuple):
    """Bytes in a stream of the log with their offset."""

    offset: int
    data: bytes
