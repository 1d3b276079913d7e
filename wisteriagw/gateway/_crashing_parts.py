"""Prompt parts and requests that crash servers, as known to this VM and its peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.crashes import CrashHistory, Quarantine, QuarantineList
from wisteriagw.gateway._crash_report_queue import CrashReportQueue
from wisteriagw.messages import CrashReports

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

logger = logging.getLogger(__name__)

# From this number of crashes on, VMs tell each other also of sound answers before the
# last crash. They are many for a common part, and one crash alone marks many parts.
MIN_CONTESTED_CRASHES = 2
NEVER = float("-inf")


class CrashingParts:
    """Combines crashes and sound answers of all VMs into quarantines.

    The parts of a request are those of its prompt that others may share, and its
    fingerprint.

    Each VM decides by itself from the same reports, so no request waits for another VM.
    Reports may be lost: relays repeat the quarantines in force.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.

    Attributes
    ----------
    reports : CrashReportQueue
        Reports of this VM for its peers.
    on_report : callable
        Called without arguments when a report was added.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.reports = CrashReportQueue()
        self.on_report: Callable[[], None] = _ignore
        self._clock = clock
        self._history = CrashHistory()
        self._quarantines = QuarantineList()
        self._told_at: dict[str, float] = {}

    def has_quarantines(self) -> bool:
        """Return whether any request may be refused."""
        return bool(self._quarantines.entries)

    def has_suspects(self) -> bool:
        """Return whether any part was open at a crash since its last sound answer."""
        return self._history.has_suspects()

    def is_suspect(self, part: str) -> bool:
        """Return whether a part was open at a crash since its last sound answer."""
        return self._history.count_crashes(part) > 0

    def find_quarantine(self, parts: Collection[str]) -> Quarantine | None:
        """Return the quarantine in force for the parts of a request, or None."""
        return self._quarantines.find(parts, self._clock())

    def record_crash(
        self, crash: str, runs: Iterable[tuple[tuple[str, ...], float]], at: float
    ) -> None:
        """Record the requests that were open when a server ended.

        Parameters
        ----------
        crash : str
            Name of the crash; the same on all VMs.
        runs : iterable of tuple
            Parts of each request, and the time at which it was sent to the server.
        at : float
            Time of the crash in seconds.
        """
        latest: dict[tuple[str, ...], float] = {}
        for parts, came_at in runs:
            if parts:
                latest[parts] = max(came_at, latest.get(parts, came_at))
        rows = [(crash, parts, at, came_at) for parts, came_at in latest.items()]
        for row in rows:
            self.reports.add_crash(*row)
        if rows:
            self.on_report()
        self._add_crashes(rows)

    def record_sound_answer(self, parts: Iterable[str]) -> None:
        """Record that an answer on some parts was written and its engine runs on."""
        now = self._clock()
        for part in parts:
            self._add_sound_answer(part, now)
            self._tell_sound_answer(part)

    def apply_reports(self, reports: CrashReports, now: float) -> CrashReports:
        """Apply the reports of a peer; return those that relays pass on."""
        self._add_crashes(
            (crash, tuple(parts), now - age, now - age - open_seconds)
            for crash, parts, age, open_seconds in reports.crashes
        )
        for part, age in reports.sound_answers:
            self._told_at[part] = max(now - age, self._told_at.get(part, NEVER))
            self._add_sound_answer(part, now - age)
        self.adopt_quarantines(reports.quarantines, now)
        return reports._replace(quarantines=())

    def list_repeated(self, now: float) -> CrashReports:
        """Return the quarantines in force, for VMs that missed the reports."""
        return CrashReports(quarantines=self.list_quarantine_rows(now))

    def adopt_quarantines(self, rows: Iterable[tuple], now: float) -> None:
        """Take over the quarantines of a relay or the store, without sound parts."""
        for parts, first_age, age, seconds in rows:
            first_at = now - first_age
            left = set()
            for part in parts:
                sound_at = self._history.get_sound_time(part)
                if sound_at <= first_at:
                    left.add(part)
                elif self._told_at.get(part, NEVER) <= first_at:
                    self._report_sound_answer(part, sound_at)
            offered = Quarantine(
                frozenset(left), frozenset(), first_at, now - age, seconds
            )
            if left and self._quarantines.adopt(offered, now):
                self._log_begin(offered, "adopted")

    def list_quarantine_rows(self, now: float) -> tuple:
        """Return the quarantines in force as rows for the peers."""
        return tuple(
            (
                tuple(entry.parts),
                now - entry.first_at,
                now - entry.began_at,
                entry.seconds,
            )
            for entry in self._quarantines.list_active(now)
        )

    def expire(self) -> None:
        """Forget old reports; must be called periodically."""
        now = self._clock()
        self._history.expire(now)
        self._quarantines.expire(now)
        for part in list(self._told_at):
            if self._history.get_sound_time(part) == NEVER:
                del self._told_at[part]

    def _add_crashes(self, rows: Iterable[tuple]) -> None:
        now = self._clock()
        rows = list(rows)
        if not rows:
            return
        for crash, parts, at, came_at in rows:
            self._history.add_crash(crash, at, parts, came_at)
            for entry in self._quarantines.apply_crash(crash, parts, now):
                self._log_begin(entry, "another crash")
            for part in parts:
                self._tell_sound_answer(part)
        self._update_quarantines(now)

    def _add_sound_answer(self, part: str, at: float) -> None:
        suspected = self._history.count_crashes(part)
        self._history.add_sound_answer(part, at)
        for entry in self._quarantines.apply_sound_answer(part, at):
            logger.info(
                "quarantine of prompt parts %s ended: sound answer",
                sorted(entry.parts),
            )
        if suspected:
            self._update_quarantines(self._clock())

    def _tell_sound_answer(self, part: str) -> None:
        """Send the last sound answer on a part that was open at a crash.

        Peers that know one later than the crash, or any if this one is older, need no
        further one.
        """
        at = self._history.get_sound_time(part)
        crash_at = self._history.get_crash_time(part)
        known = self._told_at.get(part, NEVER)
        if at <= known or known >= crash_at:
            return
        contested = self._history.count_crashes(part) >= MIN_CONTESTED_CRASHES
        if at < crash_at and (known > NEVER or not contested):
            return
        self._report_sound_answer(part, at)

    def _report_sound_answer(self, part: str, at: float) -> None:
        self._told_at[part] = at
        self.reports.add_sound_answer(part, at)
        self.on_report()

    def _update_quarantines(self, now: float) -> None:
        signatures = self._history.find_signatures()
        for entry in self._quarantines.apply_signatures(signatures, now):
            self._log_begin(entry, f"{len(entry.crashes)} crashes")

    def _log_begin(self, entry: Quarantine, reason: str) -> None:
        logger.info(
            "quarantine of prompt parts %s for %.0f s: %s",
            sorted(entry.parts),
            entry.seconds,
            reason,
        )


def _ignore() -> None:
    """Do nothing with a report while there are no peers."""
