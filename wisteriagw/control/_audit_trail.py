"""Writing of the audit trail."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks

from wisteriagw.platform import LogUnavailableError
from wisteriagw.records import AuditEntry, encode_record

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from wisteriagw.platform import LogClient

logger = logging.getLogger(__name__)

AUDIT_STREAM = "audit"
MAX_WAITING_ENTRIES = 1000


class AuditTrail:
    """Entries that wait for the log, in order.

    An entry whose reply was lost is appended again, so it may stand there twice.
    """

    def __init__(self, log: LogClient) -> None:
        self._log = log
        self._waiting: deque[AuditEntry] = deque(maxlen=MAX_WAITING_ENTRIES)

    def add(self, entry: AuditEntry) -> None:
        """Queue an entry; when the log is down for long, the oldest are dropped."""
        logger.info("%s %s: %s", entry.action, entry.subject, entry.result)
        self._waiting.append(entry)

    @inlineCallbacks
    def flush(self) -> Generator[Deferred[Any], Any, None]:
        """Append what waits, as far as the log takes it."""
        while self._waiting:
            entry = self._waiting[0]
            try:
                yield self._log.append(AUDIT_STREAM, encode_record(entry))
            except LogUnavailableError as error:
                logger.warning("the audit trail waits for the log: %s", error)
                return
            if self._waiting and self._waiting[0] is entry:
                self._waiting.popleft()
