"""Writing of this process's usage to the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.task import deferLater

from wisteriagw.gateway._background import start_background
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS, WRITE_DELAY_SECONDS
from wisteriagw.gateway._usage_delegation import is_own_write_due
from wisteriagw.gateway._usage_windows import encode_counts
from wisteriagw.platform import USAGE_TOPIC, StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.gateway._usage_counter import UsageCounter
    from wisteriagw.platform import StoreClient

logger = logging.getLogger(__name__)

# Fraction of the time after which a report is late, from the end of a window until a
# VM writes by itself what no relay has confirmed. A window is sealed after 0.15 of that
# time at the earliest, once all VMs that the holder of the authority knows have
# written; those that it does not know must have written by then too.
OWN_WRITE_FRACTION = 0.13
# Time between two looks for the confirmation of a relay.
CONFIRMATION_INTERVAL_SECONDS = 0.1
# Back-off after a failed call. It doubles up to the maximum, because refused calls cost
# as well; the maximum leaves several attempts before a window is sealed.
MIN_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 1.2


class UsageWriter:
    """Appends the counts of each window soon after its end.

    The counts are totals of this process, so a record that is appended twice counts
    once. While a relay writes the usage of this VM, only those counts are appended that
    it has not confirmed by a deadline.

    Parameters
    ----------
    due_seconds : float
        Seconds after the end of a window after which its report is late.
    is_delegated : callable
        Returns whether a relay writes the usage of this VM.
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
        due_seconds: float = 0.0,
        is_delegated: Callable[[], bool] = lambda: False,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._counter = counter
        self._vm = vm
        self._incarnation = incarnation
        self._seconds = seconds
        self._wall_clock = wall_clock
        self._deadline = OWN_WRITE_FRACTION * due_seconds
        self._is_delegated = is_delegated

    def start(self) -> None:
        """Write in the background until the process ends."""
        start_background(self._run(), "writing usage")

    async def write(self, before: int) -> None:
        """Append the counts of all windows before one until the store has them."""
        backoff = MIN_BACKOFF_SECONDS
        while True:
            # Windows that ended during an outage are sealed before the next one ends.
            before = max(before, self._counter.get_window())
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
            before = self._counter.get_window()
            await self._await_confirmation(before)
            await self.write(before)

    async def _await_confirmation(self, before: int) -> None:
        """Wait until a relay has stored all windows before one, or the deadline."""
        while windows := self._counter.list_unwritten(before):
            ended_ago = self._wall_clock() - before * self._seconds
            delegated = self._is_delegated()
            if is_own_write_due(ended_ago, self._deadline, delegated):
                if delegated:
                    logger.info(
                        "no relay has stored the usage of windows %s, writing it",
                        list(windows),
                    )
                return
            await deferLater(self._reactor, CONFIRMATION_INTERVAL_SECONDS)
        # Newer windows are kept: counts that still change are written again.
        self._counter.record_written(before - KEPT_WINDOWS)
