"""Result of a read from the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.clients._log_record import LogRecord


class LogPage(NamedTuple):
    """Consecutive records of a stream.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest record that the log retains.
    next_offset : int
        Offset of the next append, which is the tip of the stream.
    records : tuple of LogRecord
        Records from the requested offset on, in order.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
