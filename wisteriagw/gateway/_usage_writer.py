"""Writing of this process's usage to the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from wisteriagw.gateway._background import start_background
from wisteriagw.gateway._usage_windows import encode_counts
from wisteriagw.platform import USAGE_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._usage_counter import UsageCounter
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)

# Delay after the end of a window, for requests that begin at its boundary.
WRITE_DELAY_SECONDS = 0.3
# Back-off after a failed call. It doubles up to the maximum, because refused calls cost
# as well; the maximum leaves several attempts before a window is sealed.
MIN_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 1.2


class UsageWriter:
    """Appends the counts of each window soon after its end.

    The counts are totals of this process, so a record that is appended twice counts
    once.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        counter: UsageCounter,
        vm: str,
        incarnation: str,
        seconds: float,
        wall_clock: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._counter = counter
        self._vm = vm
        self._incarnation = incarnation
        self._seconds = seconds
        self._wall_clock = wall_clock

    def start(self) -> None:
        """Write in the background until the process ends."""
        start_background(self._run(), "writing usage")

    async def write(self, before: int) -> None:
        """Append the counts of all windows before one until the store has them."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            windows = self._counter.list_unwritten(before)
            if not windows:
                return
            value = encode_counts(self._vm, self._incarnation, windows)
            try:
                await self._store.append(USAGE_TOPIC, [("", value)])
            except StoreUnavailableError as error:
                logger.info("usage not written, retrying: %s", error)
                await deferLater(self._reactor, backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            self._counter.record_written(before)
            return

    async def _run(self) -> None:
        while True:
            now = self._wall_clock()
            window = int(now // self._seconds)
            due = (window + 1) * self._seconds + WRITE_DELAY_SECONDS
            await deferLater(self._reactor, max(0.05, due - now))
            await self.write(self._counter.get_window())
