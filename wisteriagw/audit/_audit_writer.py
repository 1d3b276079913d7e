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
MAX_WAITING = 1000


class AuditWriter:
    """Appends entries in order and keeps them while the log is down.

    An append without a reply is repeated: an entry that stands twice is shown once, and
    a missing one would hide a change. Entries over the bound are dropped and logged.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._waiting: deque[AuditEntry] = deque()
        self._flushing = False

    def write(self, entry: AuditEntry) -> None:
        """Append an entry now, or as soon as the log takes it."""
        logger.info("audit: %s", entry._asdict())
        if len(self._waiting) >= MAX_WAITING:
            logger.error("audit entry dropped: %s", self._waiting.popleft()._asdict())
        self._waiting.append(entry)
        self.flush()

    @inlineCallbacks
    def flush(self) -> Generator[Deferred[Any], Any, None]:
        """Append the waiting entries until the log does not answer."""
        if self._flushing:
            return
        self._flushing = True
        try:
            while self._waiting:
                entry = self._waiting[0]
                yield self._log.append(AUDIT_STREAM, encode_record(entry))
                if self._waiting and self._waiting[0] is entry:
                    self._waiting.popleft()
        except LogUnavailableError as error:
            logger.warning("%d audit entries wait: %s", len(self._waiting), error)
        finally:
            self._flushing = False
