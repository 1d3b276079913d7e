"""Copies of the usage counts of other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._peer_usage import PeerUsage
from wisteriagw.gateway._served_usage import ServedUsage

if TYPE_CHECKING:
    from collections.abc import Iterable

# Windows older than this many are sealed.
KEPT_WINDOWS = 6
# A process without a message for this long has probably ended. Its counts are totals,
# so writing them is harmless if it has not.
LOST_SECONDS = 2.0


class UsageCopies:
    """Usage counts received from peers, which outlive the process that counted.

    Attributes
    ----------
    served : ServedUsage
        Counts that this VM writes as a relay.
    """

    def __init__(self) -> None:
        self.served = ServedUsage()
        self._copies: dict[str, PeerUsage] = {}
        self._processes: dict[str, str] = {}

    def record_counts(
        self,
        vm: str,
        incarnation: str,
        rows: Iterable[tuple[int, str, int]],
        now: float,
    ) -> None:
        """Record rows of window, customer and count received from a process."""
        self._processes[vm] = incarnation
        copy = self._copies.get(incarnation)
        if copy is None:
            copy = self._copies[incarnation] = PeerUsage(vm, incarnation)
        copy.last_seen_at = now
        for window, customer, count in rows:
            copy.add(window, customer, count)

    def get(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a window by process."""
        return {
            incarnation: copy.windows[window]
            for incarnation, copy in self._copies.items()
            if window in copy.windows
        }

    def pop_lost(self, now: float) -> list[PeerUsage]:
        """Return the changed copies of processes that have ended, each change once."""
        lost = []
        for copy in self._copies.values():
            replaced = self._processes[copy.vm] != copy.incarnation
            if not copy.changed or not copy.windows:
                continue
            if replaced or now - copy.last_seen_at > LOST_SECONDS:
                copy.changed = False
                lost.append(copy)
        return lost

    def record_lost(self) -> None:
        """Record that copies which were returned for writing may not be stored."""
        for copy in self._copies.values():
            copy.changed = True
        self.served.forget_stored()

    def prune(self, window: int) -> None:
        """Drop windows that are more than ``KEPT_WINDOWS`` before a window."""
        self.served.prune(window - KEPT_WINDOWS)
        for incarnation, copy in list(self._copies.items()):
            copy.prune(window - KEPT_WINDOWS)
            if not copy.windows and self._processes[copy.vm] != incarnation:
                del self._copies[incarnation]
