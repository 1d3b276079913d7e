"""Follower of a topic of the store."""

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

    from wisteriagw.eras import StorePosition
    from wisteriagw.platform import StoreClient, StoreRecord

logger = logging.getLogger(__name__)

# Back-off after a failed call; it doubles up to the maximum, so that a store that is
# down or limits the call rate is not called much more often than usual.
MIN_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.5
# Age in the log before the first read.
MAX_LOGGED_AGE_SECONDS = 1e6


class TopicFollower:
    """Reads a keyed topic up to its tip by long polling.

    Parameters
    ----------
    handle_snapshot : callable
        ``handle_snapshot(records)`` receives the newest record of each key, at the
        start, whenever records were lost, and after the store was restored.
    handle_records : callable
        ``handle_records(records)`` receives the records that follow.
    is_current : callable or None
        Returns whether what a read up to the tip has shown can be the newest state;
        the read does not count otherwise.

    Attributes
    ----------
    read_at : float
        Start of the last read that reached the tip; minus infinity before the first.
    recovered_at : float
        Time of the first success after failures, or after the store was restored.
    position : StorePosition or None
        Position of the next read, None before the first; it is set before
        ``handle_snapshot`` is called.
    available : bool
        Whether the last call succeeded.
    min_read_interval : float
        Minimum seconds from the start of one read to the next.
    wait, default_wait : float
        Seconds for which a read waits for records, currently and while no peer relies
        on it.
    max_confirmation_age : float
        Age up to which a confirmed read of a peer replaces a read of this process.
    """

    def __init__(
        self,
        reactor: Any,
        store: StoreClient,
        topic: str,
        wait: float,
        handle_snapshot: Callable[[tuple[StoreRecord, ...]], None],
        handle_records: Callable[[tuple[StoreRecord, ...]], None],
        min_read_interval: float = 0.0,
        is_current: Callable[[], bool] | None = None,
    ) -> None:
        self.read_at = float("-inf")
        self.recovered_at = float("-inf")
        self.available = True
        self.topic = topic
        self._reactor = reactor
        self._store = store
        self.wait = self.default_wait = wait
        self.max_confirmation_age = 0.0
        self._confirmed_at = float("-inf")
        self._failed_at = float("-inf")
        self._pause: Deferred[None] | None = None
        self._relying = False
        self._read_requested = False
        self._handle_snapshot = handle_snapshot
        self._handle_records = handle_records
        self.min_read_interval = min_read_interval
        self.position: StorePosition | None = None
        self._at_tip = False
        self._is_current = is_current
        self._counted = True
        store.eras.subscribe(self.resume_reads)

    def start(self) -> None:
        """Follow the topic until the process ends."""
        start_background(self._follow(), f"following {self.topic}")

    def confirm_read(self, read_at: float) -> None:
        """Record that a peer has read the topic and has the same state as this process.

        Parameters
        ----------
        read_at : float
            Earliest time at which the peer's read may have begun.
        """
        self.read_at = max(self.read_at, read_at)
        self._confirmed_at = max(self._confirmed_at, read_at)
        if read_at > self._failed_at:
            self._record_success()

    def measure_availability(self) -> float:
        """Return the seconds since the store became available, 0 while it is not."""
        return self._reactor.seconds() - self.recovered_at if self.available else 0.0

    def resume_reads(self) -> None:
        """End a pause due to confirmed reads, because a peer has newer records."""
        self._confirmed_at = float("-inf")
        self._read_requested = True
        if self._pause is not None:
            self._pause.cancel()

    async def _follow(self) -> None:
        backoff = MIN_BACKOFF_SECONDS
        while True:
            started = self._reactor.seconds()
            confirmed = self._confirmed_at + self.max_confirmation_age - started
            if confirmed > 0:
                self._set_relying(True)
                await self._pause_reads(confirmed)
                continue
            if not self._read_requested:
                self._set_relying(False)
            self._read_requested = False
            try:
                await self._read()
            except StoreUnavailableError as error:
                self._record_failure(error)
                await deferLater(self._reactor, backoff)
                backoff = min(2 * backoff, MAX_BACKOFF_SECONDS)
                continue
            except CancelledError:
                raise
            except Exception:
                # The other records hold; a follower that ended would miss them.
                logger.exception("a record of %s could not be applied", self.topic)
                await deferLater(self._reactor, backoff)
                continue
            backoff = MIN_BACKOFF_SECONDS
            self._record_success()
            self._counted = self._is_current is None or self._is_current()
            if self._at_tip and not self._counted:
                await deferLater(self._reactor, backoff)
                continue
            if self._at_tip:
                self.read_at = max(self.read_at, started)
            left = started + self.min_read_interval - self._reactor.seconds()
            if left > 0 and self._at_tip:
                await deferLater(self._reactor, left)

    async def _pause_reads(self, seconds: float) -> None:
        self._pause = deferLater(self._reactor, seconds)
        try:
            await self._pause
        except CancelledError:
            # A peer has newer records.
            pass
        finally:
            self._pause = None

    async def _read(self) -> None:
        if self.position is None:
            page = await self._store.read_newest(self.topic)
            self.position = page.next_position
            try:
                self._handle_snapshot(page.records)
            except Exception:
                self.position = None
                raise
            self._at_tip = True
            return
        # A read that is sent during an outage is never answered: while the store is
        # unavailable each read is short, so that its return is noticed. The one after a
        # read that does not count is short too.
        wait = self.wait if self.available and self._counted else 0.0
        page = await self._store.read(self.topic, self.position, wait)
        if not page.complete:
            if page.next_position.era != self.position.era:
                self.recovered_at = self._reactor.seconds()
            logger.warning(
                "records of %s are no longer kept, reading the newest of each key: "
                "read from %s, the store is at %s",
                self.topic,
                self.position,
                page.next_position,
            )
            self.position = None
            # No read counts as confirmed before the newest records are read.
            await self._read()
            return
        self.position = page.next_position
        self._at_tip = page.at_tip
        if page.records:
            self._handle_records(page.records)

    def _record_failure(self, error: StoreUnavailableError) -> None:
        self._failed_at = self._reactor.seconds()
        if self.available:
            self.available = False
            logger.warning("lost the store for %s: %s", self.topic, error)

    def _record_success(self) -> None:
        if not self.available:
            self.available = True
            self.recovered_at = self._reactor.seconds()
            logger.warning(
                "regained the store for %s, last read to its tip %.2f s ago",
                self.topic,
                min(self.recovered_at - self.read_at, MAX_LOGGED_AGE_SECONDS),
            )

    def _set_relying(self, relying: bool) -> None:
        if relying != self._relying:
            self._relying = relying
            logger.info(
                "relies on a relay's reads of %s"
                if relying
                else "no relay vouches for reads of %s any more",
                self.topic,
            )
