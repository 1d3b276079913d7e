"""Exchange of reports on crashes with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._crash_report_queue import CrashReportQueue
from wisteriagw.messages import CrashReports
from wisteriagw.relays import RelayPeers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.gateway._crashing_parts import CrashingParts
    from wisteriagw.mesh import Mesh

# Relays repeat the quarantines in force at this interval, for VMs that have just
# started or missed a report.
QUARANTINE_INTERVAL_SECONDS = 0.5
# Reports do not wait for the next update, whose interval grows with the number of VMs:
# until they arrive, more engines end. Those of this time are sent together.
SEND_DELAY_SECONDS = 0.05


class CrashReportExchange:
    """Sends reports through the relays, as the other updates; most of the time none."""

    def __init__(
        self,
        mesh: Mesh,
        crashing_parts: CrashingParts,
        reactor: Any,
    ) -> None:
        self._mesh = mesh
        self._crashing_parts = crashing_parts
        self._reactor = reactor
        self._peers = RelayPeers()
        self._scheduled = False
        self._for_relays = CrashReportQueue()
        self._for_served_vms = CrashReportQueue()
        self._repeated_at = float("-inf")
        crashing_parts.on_report = self._schedule
        mesh.subscribe(CrashReports, self._handle)

    def send(self, peers: RelayPeers, now: float) -> None:
        """Send what was reported since the last message."""
        own = self._crashing_parts.reports.pop(now)
        self._peers = peers
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
        now = self._reactor.seconds()
        self._crashing_parts.apply_reports(reports, now)
        if not self._peers.is_relay or not (reports.crashes or reports.sound_answers):
            return
        self._for_served_vms.add_all(reports, now)
        if sender in self._peers.served_vms:
            self._for_relays.add_all(reports, now)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._reactor.callLater(SEND_DELAY_SECONDS, self._send_scheduled)

    def _send_scheduled(self) -> None:
        self._scheduled = False
        self.send(self._peers, self._reactor.seconds())
