"""Writing of the usage of processes that have ended."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.gateway._usage_windows import encode_counts
from wisteriagw.platform import USAGE_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_copies import UsageCopies
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)


class LostUsageWriter:
    """Appends the copies of ended processes, so that their requests are billed."""

    def __init__(self, store: StoreClient, copies: UsageCopies) -> None:
        self._store = store
        self._copies = copies
        self._pending: list[bytes] = []
        store.eras.subscribe(copies.record_lost)

    async def run_cycle(self, now: float) -> None:
        """Append pending copies; those that the store refuses are retried next time."""
        for copy in self._copies.pop_lost(now):
            logger.info("writing the usage of %s, which has ended", copy.incarnation)
            self._pending.append(
                encode_counts(copy.vm, copy.incarnation, copy.windows, copy=True)
            )
        if not self._pending:
            return
        pending, self._pending = self._pending, []
        try:
            await self._store.append(USAGE_TOPIC, [("", value) for value in pending])
        except StoreUnavailableError as error:
            logger.info(
                "cannot write the usage of ended processes, will retry: %s", error
            )
            self._pending = pending + self._pending
