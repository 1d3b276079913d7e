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
        self._waiting: list[bytes] = []

    async def run_turn(self, now: float) -> None:
        """Append what is due; what the store does not take waits for the next turn."""
        for copy in self._copies.take_lost(now):
            logger.info("writing the usage of %s, which has ended", copy.incarnation)
            self._waiting.append(
                encode_counts(copy.vm, copy.incarnation, copy.windows, copy=True)
            )
        if not self._waiting:
            return
        waiting, self._waiting = self._waiting, []
        try:
            await self._store.append(USAGE_TOPIC, [("", value) for value in waiting])
        except StoreUnavailableError as error:
            logger.info("usage of ended processes is not written yet: %s", error)
            self._waiting = waiting + self._waiting
