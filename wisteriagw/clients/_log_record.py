"""Record stored in the log."""

from __future__ import annotations

from typing import NamedTuple


class LogRecord(NamedTuple):
    """Data of a record and its offset in the stream."""

    offset: int
    data: bytes
