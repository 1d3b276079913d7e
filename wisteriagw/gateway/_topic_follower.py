"""Following of a topic of the store."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError
from twisted.internet.task import deferLater

from wisteriagw.gateway._background import start_background
from wisteriagw.platform import StoreUnavailableError

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

# Pause after a failed call; it doubles up to the bound, so that a store that is down or
# refuses calls for their rate is not asked much more often than usual.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5


class TopicFollower:
    """Keeps a reader at the tip of a keyed topic by long polls.

    Parameters
    ----------
    take_snapshot : callable
        ``take_snapshot(records)`` gets the newest record of each key, at the start and
        whenever records were lost.
    take_records : callable
        ``take_records(records)`` gets the records that follow.

    Attributes
    ----------
    read_at : float
        Start of the last read that reached the tip; minus infinity before the first.
    regained_at : float
        Time of the first success after failures.
    available : bool
        Whether the last call succeeded.
    pace : float
        Least seconds from one read to the next.
    wait, usual_wait : float
        Seconds for which a read waits for records, now and while no peer relies on it.
    hold : float
        Age up to which a read that a peer vouches for stands for an own one.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        topic: str,
        wait: float,
        take_snapshot: Callable[[tuple[StoreRecord, ...]], None],
        take_records: Callable[[tuple[StoreRecord, ...]], None],
        pace: float = 0.0,
    ) -> None:
        self.read_at = float("-inf")
        self.regained_at = float("-inf")
        self.available = True
        self.topic = topic
        self._reactor = reactor
        self._store = store
        self.wait = self.usual_wait = wait
        self.hold = 0.0
        self._vouched_at = float("-inf")
        self._failed_at = float("-inf")
        self._resting: Deferred[None] | None = None
        self._relying = False
        self._hurried = False
        self._take_snapshot = take_snapshot
        self._take_records = take_records
        self.pace = pace
        self._next_offset = -1
        self._at_tip = False

    def start(self) -> None:
        """Follow the topic as long as the process runs."""
        start_background(self._follow(), f"following {self.topic}")

    def vouch(self, read_at: float) -> None:
        """Take that a peer has read the topic and that this process has the same.

        Parameters
        ----------
        read_at : float
            Earliest time at which the peer's read may have begun.
        """
        self.read_at = max(self.read_at, read_at)
        self._vouched_at = max(self._vouched_at, read_at)
        if read_at > self._failed_at:
            self._note_success()

    def hurry(self) -> None:
        """Read soon, because a peer knows of something newer."""
        self._vouched_at = float("-inf")
        self._hurried = True
        if self._resting is not None:
            self._resting.cancel()

    async def _follow(self) -> None:
        pause = MIN_PAUSE_SECONDS
        while True:
            started = self._reactor.seconds()
            held = self._vouched_at + self.hold - started
            if held > 0:
                self._note_relying(True)
                await self._rest(held)
                continue
            if not self._hurried:
                self._note_relying(False)
            self._hurried = False
            try:
                await self._read()
            except StoreUnavailableError as error:
                self._note_failure(error)
                await deferLater(self._reactor, pause)
                pause = min(2 * pause, MAX_PAUSE_SECONDS)
                continue
            pause = MIN_PAUSE_SECONDS
            self._note_success()
            if self._at_tip:
                self.read_at = max(self.read_at, started)
            left = started + self.pace - self._reactor.seconds()
            if left > 0 and self._at_tip:
                await deferLater(self._reactor, left)

    async def _rest(self, seconds: float) -> None:
        self._resting = deferLater(self._reactor, seconds)
        try:
            await self._resting
        except CancelledError:
            # A peer knows of something newer.
            pass
        finally:
            self._resting = None

    async def _read(self) -> None:
        if self._next_offset < 0:
            page = await self._store.read_newest(self.topic)
            self._take_snapshot(page.records)
            self._next_offset = page.next_offset
            self._at_tip = True
            return
        page = await self._store.read(self.topic, self._next_offset, self.wait)
        if not page.complete:
            logger.warning("records of %s are gone, reading its newest", self.topic)
            self._next_offset = -1
            # The newest records are read before anything counts as confirmed.
            await self._read()
            return
        self._next_offset = page.next_offset
        self._at_tip = page.at_tip
        if page.records:
            self._take_records(page.records)

    def _note_failure(self, error: StoreUnavailableError) -> None:
        self._failed_at = self._reactor.seconds()
        if self.available:
            self.available = False
            logger.warning("lost the store for %s: %s", self.topic, error)

    def _note_success(self) -> None:
        if not self.available:
            self.available = True
            self.regained_at = self._reactor.seconds()
            logger.warning("regained the store for %s", self.topic)

    def _note_relying(self, relying: bool) -> None:
        if relying != self._relying:
            self._relying = relying
            logger.info(
                "relies on a relay's reads of %s"
                if relying
                else "no relay vouches for reads of %s any more",
                self.topic,
            )
