"""Reply of the log to a read."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.clients._log_record import LogRecord


class LogPage(NamedTuple):
    """Part of a stream.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest record that the log still keeps.
    next_offset : int
        Offset that the next append will get; the tip of the stream.
    records : tuple of LogRecord
        Records from the requested offset on, in order.
    """

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]
