"""Follower that keeps a state up to date with one stream of the log."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.checkpoints import CheckpointProgress, add_part, build_collection
from wisteriagw.findings import Finding
from wisteriagw.follower._search import SEARCH_RECORDS, search_checkpoint
from wisteriagw.records import CheckpointPart, decode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.checkpoints import CheckpointCodec
    from wisteriagw.clients import LogClient, LogRecord
    from wisteriagw.follower._record_history import RecordHistory

logger = logging.getLogger(__name__)

PAGE_RECORDS = 500
# A stream may contain any number of invalid records, so only the newest findings are
# kept.
MAX_FINDINGS = 100


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
    apply_record_loss : callable, optional
        ``apply_record_loss(state, first_offset)`` returns the state after records
        before ``first_offset`` were removed from the log before they were read.
    history : RecordHistory, optional
        Stores the records that were applied, for peers that cannot read the log.
    codec : CheckpointCodec, optional
        Encoding of the state in checkpoints. Without it no checkpoint is used, and only
        the records that the log still has are folded.

    Attributes
    ----------
    state_incomplete : bool
        Whether records are missing that the state should include. With a codec the
        state then stays as it is, and ``last_tip_read_at`` too.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        state: Any,
        apply: Callable[[Any, Any, int], Any],
        clock: Callable[[], float],
        codec: CheckpointCodec | None = None,
        *,
        apply_record_loss: Callable[[Any, int], Any] | None = None,
        history: RecordHistory | None = None,
    ) -> None:
        self.stream = stream
        self.state = state
        self.next_offset = 0
        self.last_tip_read_at: float | None = None
        # Offset up to which records were removed before they could be read.
        self.gap_end: int | None = None
        self._apply_record_loss = apply_record_loss
        self._history = history
        self.findings: deque[Finding] = deque(maxlen=MAX_FINDINGS)
        self.state_incomplete = False
        self.codec = codec
        self._client = client
        self._apply = apply
        self._clock = clock
        self._parts = build_collection(codec.fold if codec else "")
        self._newest_seen_at = clock()
        self._searched = False

    @property
    def progress(self) -> CheckpointProgress:
        """Growth of the stream since its newest complete checkpoint."""
        newest = self._parts.newest
        through, parts = (newest.through, newest.parts) if newest else (-1, 0)
        return CheckpointProgress(
            self.next_offset, through, parts, self._newest_seen_at
        )

    @inlineCallbacks
    def poll(self) -> Generator[Deferred[Any], Any, None]:
        """Read to the tip; fails with LogUnavailableError.

        The tip read is dated from before the request was sent: a record appended
        while the reply was on its way may be missing from it.
        """
        while True:
            started = self._clock()
            page = yield self._client.read(self.stream, self.next_offset, PAGE_RECORDS)
            if self.codec is not None and self._needs_checkpoint(page):
                found = yield self._start_from_checkpoint()
                if not found:
                    return
                continue
            self._skip_removed_records(page.first_offset)
            self.apply_records(page.records)
            if self.next_offset >= page.next_offset:
                self.last_tip_read_at = started
                return

    def _skip_removed_records(self, first_offset: int) -> None:
        if first_offset <= self.next_offset:
            return
        self.state_incomplete = True
        # Without the skip, an empty page before the first offset would be read forever.
        self.gap_end = self.next_offset = first_offset
        if self._apply_record_loss is not None:
            self.state = self._apply_record_loss(self.state, first_offset)

    def _needs_checkpoint(self, page: Any) -> bool:
        if page.first_offset > self.next_offset:
            return True
        # If the tip is far, starting from a checkpoint is faster; tried once at start.
        fresh = self.next_offset == 0 and not self._searched
        return fresh and page.next_offset > SEARCH_RECORDS

    @inlineCallbacks
    def _start_from_checkpoint(self) -> Generator[Deferred[Any], Any, bool]:
        """Load the state of a newer checkpoint, if any; return whether to continue."""
        self._searched = True
        result = yield search_checkpoint(
            self._client, self.stream, self.codec.fold, self.next_offset
        )
        checkpoint = result.checkpoint
        if checkpoint is not None and self.load_state(
            checkpoint.through, checkpoint.data
        ):
            self._parts = result.collection
            self._newest_seen_at = self._clock()
            return True
        if result.first_offset > self.next_offset:
            if not self.state_incomplete:
                logger.error(
                    "state_incomplete: stream %s starts at offset %d, offset %d is "
                    "needed and no complete checkpoint was found",
                    self.stream,
                    result.first_offset,
                    self.next_offset,
                )
            self.state_incomplete = True
            return False
        return True

    def load_state(self, through: int, data: bytes) -> bool:
        """Replace an older state by an encoded one; return whether it was newer."""
        if through < self.next_offset:
            # Another poll advanced during the search, or the state is not newer.
            return False
        try:
            state = self.codec.decode(data)
        except ValueError as error:
            place = f"{self.stream}, state through {through}"
            self.findings.append(Finding(place, str(error)))
            logger.warning("skipped %s: %s", place, error)
            return False
        self.state = state
        self.next_offset = through + 1
        self.state_incomplete = False
        return True

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
            if isinstance(record, CheckpointPart):
                self._add_part(record, offset)
                continue
            self.state = self._apply(record, self.state, offset)

    def _add_part(self, part: CheckpointPart, offset: int) -> None:
        newest = self._parts.newest
        self._parts = add_part(self._parts, part, offset)
        if self._parts.newest is not newest:
            self._newest_seen_at = self._clock()
