"""Writer of the audit trail."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.clients import LogUnavailableError
from wisteriagw.records import encode_record

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.clients import LogClient
    from wisteriagw.records import AuditEntry

logger = logging.getLogger(__name__)

AUDIT_STREAM = "audit"
MAX_PENDING_ENTRIES = 1000


class AuditWriter:
    """Appends entries in order and buffers them while the log is unavailable.

    An append without a reply is repeated: a duplicate entry is shown once, while a
    missing one would hide a change. If the buffer is full, the oldest entry is dropped
    and logged.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._pending: deque[AuditEntry] = deque()
        self._flushing = False

    def write(self, entry: AuditEntry) -> None:
        """Append an entry now, or once the log is available."""
        logger.info("audit: %s", entry._asdict())
        if len(self._pending) >= MAX_PENDING_ENTRIES:
            logger.error("audit entry dropped: %s", self._pending.popleft()._asdict())
        self._pending.append(entry)
        self.flush()

    @inlineCallbacks
    def flush(self) -> Generator[Deferred[Any], Any, None]:
        """Append the pending entries; stop at the first append that fails."""
        if self._flushing:
            return
        self._flushing = True
        try:
            while self._pending:
                entry = self._pending[0]
                yield self._log.append(AUDIT_STREAM, encode_record(entry))
                if self._pending and self._pending[0] is entry:
                    self._pending.popleft()
        except LogUnavailableError as error:
            logger.warning("%d audit entries pending: %s", len(self._pending), error)
        finally:
            self._flushing = False
