"""Reader that keeps a state up to date with one stream of the log."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.findings import Finding
from wisteriagw.records import decode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.follower._record_history import RecordHistory
    from wisteriagw.platform import LogClient, LogRecord

logger = logging.getLogger(__name__)

PAGE_RECORDS = 500


class StreamFollower:
    """Folds the records of a stream into a state, in offset order.

    Parameters
    ----------
    client : LogClient
        Access to the log.
    stream : str
        Name of the stream.
    state : object
        State before the first record.
    apply : callable
        ``apply(record, state, offset)`` returns the next state.
    clock : callable
        Returns the time in seconds; see ``wisteriagw.clocks.read_boot_time``.
    lose_records : callable, optional
        ``lose_records(state, first_offset)`` returns the state after records before
        ``first_offset`` were removed from the log before they were read.
    history : RecordHistory, optional
        Keeps the records that were applied, for peers that cannot read the log.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        state: Any,
        apply: Callable[[Any, Any, int], Any],
        clock: Callable[[], float],
        lose_records: Callable[[Any, int], Any] | None = None,
        history: RecordHistory | None = None,
    ) -> None:
        self.stream = stream
        self.state = state
        self.next_offset = 0
        self.last_tip_read_at: float | None = None
        # Offset up to which records were gone before they could be read.
        self.gap_end: int | None = None
        self.findings: list[Finding] = []
        self._client = client
        self._apply = apply
        self._clock = clock
        self._lose_records = lose_records
        self._history = history

    @inlineCallbacks
    def poll(self) -> Generator[Deferred[Any], Any, None]:
        """Read to the tip; fails with LogUnavailableError.

        The tip read is dated from before the request was sent: a record appended
        while the reply was on its way may be missing from it.
        """
        while True:
            started = self._clock()
            page = yield self._client.read(self.stream, self.next_offset, PAGE_RECORDS)
            self._skip_lost(page.first_offset)
            self.apply_records(page.records)
            if self.next_offset >= page.next_offset:
                self.last_tip_read_at = started
                return

    def _skip_lost(self, first_offset: int) -> None:
        if first_offset <= self.next_offset:
            return
        # Without the skip an empty page past the retention would be read for ever.
        self.gap_end = self.next_offset = first_offset
        if self._lose_records is not None:
            self.state = self._lose_records(self.state, first_offset)

    def apply_records(self, records: tuple[LogRecord, ...]) -> None:
        """Apply records in offset order; those applied before change nothing."""
        for offset, data in records:
            if offset < self.next_offset:
                continue
            self.next_offset = offset + 1
            if self._history is not None:
                self._history.add(offset, data)
            record = decode_record(data, f"{self.stream}@{offset}")
            if isinstance(record, Finding):
                logger.warning("skipped %s: %s", record.place, record.message)
                self.findings.append(record)
                continue
            self.state = self._apply(record, self.state, offset)
