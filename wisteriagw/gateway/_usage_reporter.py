"""Reports of usage by the holder of the authority."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.eras import UNKNOWN_ERA, StorePosition
from wisteriagw.gateway._report_ledger import ReportLedger
from wisteriagw.gateway._usage_windows import UsageWindows, encode_seal
from wisteriagw.platform import (
    USAGE_TOPIC,
    AppendConflictError,
    is_done,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.gateway._authority_controller import AuthorityController
    from wisteriagw.platform import DutyClient, NodeSettings, StoreClient

logger = logging.getLogger(__name__)

# Fractions of the time after which a report is late. A window is sealed early if all
# VMs have written their counts, and otherwise in time for another attempt.
EARLY_FRACTION = 0.15
LATEST_FRACTION = 0.75
# Time after an outage of the store until windows are sealed that not all VMs have
# written: the longest back-off of a writer (1.2 s), a call that times out (1 s) and the
# next one. Sealing at once left out up to 590 of 600 requests of a window.
RECOVERY_SECONDS = 2.5
# Reports of older windows were sent, or are too late by now.
MAX_WINDOWS_BACK = 4


class UsageReporter:
    """Seals windows in the store and reports their figures.

    A seal fixes the figures against counts that come late, and expires with the store's
    history. The ledger keeps what may have been reported.

    Parameters
    ----------
    get_copies : callable
        ``get_copies(window)`` returns the counts that peers have sent, by process.
    list_vms : callable
        Returns the VMs whose counts are expected.
    measure_availability : callable
        Returns the seconds since the store became available, 0 while it is not.
    """

    def __init__(
        self,
        store: StoreClient,
        duties: DutyClient,
        authority: AuthorityController,
        settings: NodeSettings,
        wall_clock: Callable[[], float],
        get_copies: Callable[[int], dict[str, dict[str, int]]],
        list_vms: Callable[[], Iterable[str]],
        measure_availability: Callable[[], float] = lambda: float("inf"),
    ) -> None:
        self._store = store
        self._duties = duties
        self._authority = authority
        self._settings = settings
        self._wall_clock = wall_clock
        self._get_copies = get_copies
        self._list_vms = list_vms
        self._measure_availability = measure_availability
        self._windows = UsageWindows()
        self._ledger = ReportLedger(store)
        self._fencing_number: int | None = None
        self._next = StorePosition(UNKNOWN_ERA, 0)
        self._reported: set[int] = set()
        self._skipped: set[int] = set()

    async def run_cycle(self) -> None:
        """Seal and report what is due, if this process holds the authority."""
        fencing_number = self._authority.get_fencing_number()
        if fencing_number is None:
            return
        newest = self._find_newest_ended(EARLY_FRACTION)
        if newest in self._reported:
            return
        if fencing_number != self._fencing_number:
            # Other holders may have reported since this process held the authority.
            await self._ledger.read(newest)
            self._fencing_number = fencing_number
        await self._read_topic()
        if not await self._seal_windows(newest):
            return
        oldest = newest - MAX_WINDOWS_BACK
        for window in sorted({*self._windows.sealed, *self._ledger.figures}):
            if window in self._reported or window < oldest:
                continue
            if not await self._enter(window):
                return
            await self._report(window)
        self._forget_windows(oldest)

    async def _seal_windows(self, newest: int) -> bool:
        """Seal what is due; return whether reports may follow."""
        complete_from = self._authority.get_era_seen_at()
        for window in self._windows.list_unsealed(newest):
            if self._ledger.covers(window):
                # Its seal has expired, and its counts were written again.
                continue
            if (window + 1) * self._settings.usage_window <= complete_from:
                # Its figures may have been sealed and reported, and lost in a restore.
                self._log_skipped(window)
                continue
            late = window <= self._find_newest_ended(LATEST_FRACTION)
            if not may_seal_late(
                late, self._measure_availability()
            ) and not self._windows.is_complete(window, self._list_vms()):
                break
            if not await self._seal(window):
                return False
        return True

    async def _enter(self, window: int) -> bool:
        """Return whether the ledger has the figures of a window, entering them if not.

        A window that is older than the newest entry is entered no more.
        """
        if window in self._ledger.figures or self._ledger.covers(window):
            return True
        return await self._ledger.enter(window, self._windows.sealed[window])

    def _forget_windows(self, oldest: int) -> None:
        if self._ledger.newest is not None:
            self._windows.forget_before(min(oldest, self._ledger.newest))
        self._reported = {window for window in self._reported if window >= oldest}
        self._skipped = {window for window in self._skipped if window >= oldest}

    def _find_newest_ended(self, fraction: float) -> int:
        """Return the newest window that ended at least a fraction of usage_due ago."""
        settings = self._settings
        ended = self._wall_clock() - fraction * settings.usage_due
        return int(ended // settings.usage_window) - 1

    async def _read_topic(self) -> None:
        while True:
            page = await self._store.read(USAGE_TOPIC, self._next)
            if page.next_position.era != self._next.era:
                self._windows.forget_open()
            self._windows.apply_records(page.records)
            self._next = page.next_position
            if page.complete and not page.records:
                return

    def _log_skipped(self, window: int) -> None:
        if window not in self._skipped:
            self._skipped.add(window)
            logger.warning(
                "usage of window %d is not reported: it may have been reported before "
                "the store was restored",
                window,
            )

    async def _seal(self, window: int) -> bool:
        counts = self._windows.sum_counts(window, self._get_copies(window))
        try:
            await self._store.append(
                USAGE_TOPIC, [("", encode_seal(window, counts))], self._next
            )
        except AppendConflictError:
            # Counts were appended in the meantime; the next cycle reads them.
            return False
        await self._read_topic()
        return window in self._windows.sealed

    async def _report(self, window: int) -> None:
        fencing_number = self._authority.get_fencing_number()
        counts = self._ledger.figures.get(window)
        if fencing_number is None or counts is None:
            return
        outcome = await self._duties.report_usage(window, counts, fencing_number)
        logger.info("usage of window %d: %s, %s", window, counts, outcome)
        if is_done(outcome):
            self._reported.add(window)


def may_seal_late(late: bool, available_for: float) -> bool:
    """Return whether a window is sealed although not all VMs have written it.

    Load: appends of all VMs after an outage of the store.

    Parameters
    ----------
    late : bool
        Whether the report of the window is to be sent for lack of time.
    available_for : float
        Seconds since the store became available to this process.
    """
    return late and available_for >= RECOVERY_SECONDS
