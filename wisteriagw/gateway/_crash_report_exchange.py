"""Exchange of reports on crashes with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.gateway._crash_report_queue import CrashReportQueue
from wisteriagw.messages import CrashReports

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.gateway._crashing_parts import CrashingParts
    from wisteriagw.mesh import Mesh
    from wisteriagw.relays import RelayPeers

# Relays repeat the quarantines in force at this interval, for VMs that have just
# started or missed a report.
QUARANTINE_INTERVAL_SECONDS = 0.5


class CrashReportExchange:
    """Sends reports through the relays, as the other updates; most of the time none."""

    def __init__(
        self,
        mesh: Mesh,
        crashing_parts: CrashingParts,
        clock: Callable[[], float],
    ) -> None:
        self._mesh = mesh
        self._crashing_parts = crashing_parts
        self._clock = clock
        self._for_relays = CrashReportQueue()
        self._for_served_vms = CrashReportQueue()
        self._is_relay = False
        self._served: frozenset[str] = frozenset()
        self._repeated_at = float("-inf")
        mesh.subscribe(CrashReports, self._handle)

    def send(self, peers: RelayPeers, now: float) -> None:
        """Send what was reported since the last message."""
        own = self._crashing_parts.reports.pop(now)
        self._is_relay = peers.is_relay
        self._served = frozenset(peers.served_vms)
        if not peers.is_relay:
            self._send(peers.relays[:1], own)
            return
        self._for_relays.add_all(own, now)
        self._for_served_vms.add_all(own, now)
        quarantines = self._list_due_quarantines(now)
        update = self._for_relays.pop(now)._replace(quarantines=quarantines)
        self._send((*peers.selected_relays, *peers.reply_peers), update)
        update = self._for_served_vms.pop(now)._replace(quarantines=quarantines)
        self._send(peers.served_vms, update)

    def _list_due_quarantines(self, now: float) -> tuple:
        if now - self._repeated_at < QUARANTINE_INTERVAL_SECONDS:
            return ()
        self._repeated_at = now
        return self._crashing_parts.list_quarantine_rows(now)

    def _send(self, vms: Iterable[str], reports: CrashReports) -> None:
        if any(reports):
            self._mesh.multicast(vms, reports)

    def _handle(self, sender: str, reports: CrashReports) -> None:
        now = self._clock()
        self._crashing_parts.apply_reports(reports, now)
        if not self._is_relay:
            return
        self._for_served_vms.add_all(reports, now)
        if sender in self._served:
            self._for_relays.add_all(reports, now)
