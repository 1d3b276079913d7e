"""Writing of this VM's usage to the store."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater

from wisteriagw.platform import USAGE_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._usage_counter import UsageCounter
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)

# After the end of a window, for requests that begin at its edge.
WRITE_DELAY_SECONDS = 0.3
PAUSE_SECONDS = 0.3


class UsageWriter:
    """Appends the counts of each window soon after its end.

    A batch keeps its number until the store has it, so that one whose answer was lost
    counts once.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        counter: UsageCounter,
        incarnation: str,
        seconds: float,
        wall_clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._counter = counter
        self._incarnation = incarnation
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._number = 0
        self._running: Deferred[None] | None = None

    def start(self) -> None:
        """Write until ``stop``."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._log_end)

    def stop(self) -> None:
        """End the regular writing."""
        if self._running is not None:
            self._running.cancel()

    async def write(self, before: float) -> None:
        """Append the counts of all windows before one until the store has them."""
        windows = self._counter.take(before)
        if not windows:
            return
        self._number += 1
        value = json.dumps(
            {"batch": [self._incarnation, self._number], "windows": windows}
        ).encode("utf-8")
        while True:
            try:
                await self._store.append(USAGE_TOPIC, [("", value)])
            except StoreUnavailableError as error:
                logger.info("usage is not written yet: %s", error)
                await deferLater(self._reactor, PAUSE_SECONDS)
                continue
            return

    async def _run(self) -> None:
        while True:
            now = self._wall_clock()
            window = int(now // self._seconds)
            due = (window + 1) * self._seconds + WRITE_DELAY_SECONDS
            await deferLater(self._reactor, max(0.05, due - now))
            await self.write(int(self._wall_clock() // self._seconds))

    def _log_end(self, failure: Any) -> None:
        if not failure.check(CancelledError):
            logger.error("writing usage ended: %s", failure.getTraceback())
