"""Exchange of state updates with the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._crash_report_queue import CrashReportQueue
from wisteriagw.gateway._delta_queue import DeltaQueue
from wisteriagw.gateway._initial_state_transfer import InitialStateTransfer
from wisteriagw.gateway._members import LIVENESS_TIMEOUT_SECONDS
from wisteriagw.gateway._read_confirmation import set_confirmation_age, set_read_waits
from wisteriagw.gateway._relay_peer_tracker import (
    SUSPICION_TIMEOUT_SECONDS,
    RelayPeerTracker,
)
from wisteriagw.gateway._relay_queues import RelayQueues
from wisteriagw.gateway._sent_update_log import SentUpdateLog
from wisteriagw.gateway._update_receiver import UpdateReceiver
from wisteriagw.gateway._update_sender import UpdateSender
from wisteriagw.gateway._usage_counter import KEPT_WINDOWS
from wisteriagw.gateway.notices import NoticeQueue
from wisteriagw.gateway.reports import ReportExchange
from wisteriagw.messages import CrashReports, ServerNotices
from wisteriagw.ratelimits import VmCounts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._usage_copies import UsageCopies
    from wisteriagw.mesh import Mesh
    from wisteriagw.relays import RelayPeers

UPDATE_INTERVAL_SECONDS = 0.1
# With more peers than this, each sends less often, so that the number of messages that
# a relay receives per second stays constant.
PEERS_AT_FULL_RATE = 12
# Work of a peer expires once this many of its updates are missing.
PEER_WORK_INTERVALS = 5.0
# Update intervals without a message after which a peer is suspected, and after which a
# VM no longer counts as alive; an update takes three hops from a VM through two relays
# to another VM.
SUSPICION_TIMEOUT_INTERVALS = 3.0
LIVENESS_TIMEOUT_INTERVALS = 8.0


class UpdateExchange:
    """Sends the state of this VM to the other VMs and receives theirs.

    Each VM sends updates to two relays of its data centre. Relays exchange aggregates
    with the relays of the other data centres and send updates to their own VMs.

    Parameters
    ----------
    is_ready : callable
        Whether callers shall use this VM.
    usage_through_relays : bool
        Whether a relay writes the usage of the VMs of its data centre.
    """

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        copies: UsageCopies,
        incarnation: str,
        is_ready: Any,
        usage_through_relays: bool = False,
    ) -> None:
        settings = context.settings
        self._context = context
        self._reactor: Any = context.reactor
        self._members = members
        self._copies = copies
        self._incarnation = incarnation
        self._data_centre = settings.data_centre
        self._tracker = RelayPeerTracker(
            mesh, members, (settings.vm, settings.data_centre)
        )
        self._initial_state = InitialStateTransfer(
            mesh, self._tracker, context.work.parts
        )
        queues = RelayQueues(DeltaQueue(), DeltaQueue())
        sent = SentUpdateLog(settings.vm)
        self._sender = UpdateSender(
            context,
            mesh,
            members,
            self._tracker,
            queues,
            sent,
            incarnation,
            is_ready,
            copies.served,
            usage_through_relays,
        )
        self._receiver = UpdateReceiver(
            context,
            mesh,
            members,
            self._tracker,
            queues,
            sent,
            copies,
            self._initial_state,
            incarnation,
        )
        self._crash_reports = ReportExchange(
            mesh, context.crashing_parts, self._reactor, CrashReports, CrashReportQueue
        )
        self._notices = ReportExchange(
            mesh, context.notices, self._reactor, ServerNotices, NoticeQueue
        )
        set_confirmation_age(context)

    @property
    def peers(self) -> RelayPeers:
        """Peers of this VM."""
        return self._tracker.peers

    def start(self) -> None:
        """Send an update now and after each update interval."""
        self.send()
        interval = find_update_interval(self._count_peers())
        valid_seconds = PEER_WORK_INTERVALS * interval
        self._context.work.peer_work_valid_seconds = valid_seconds
        self._context.sums.valid_seconds = valid_seconds
        timeout = max(SUSPICION_TIMEOUT_SECONDS, SUSPICION_TIMEOUT_INTERVALS * interval)
        self._tracker.failure_detector.suspicion_timeout = timeout
        self._members.liveness_timeout = max(
            LIVENESS_TIMEOUT_SECONDS, LIVENESS_TIMEOUT_INTERVALS * interval
        )
        self._reactor.callLater(interval, self.start)

    def send(self) -> None:
        """Send what has changed since the last message."""
        now = self._reactor.seconds()
        peers = self._tracker.update(now)
        set_read_waits(self._context, bool(peers.served_vms))
        self._members.set_relay(peers.is_relay)
        self._sender.send(peers, now)
        self._crash_reports.send(peers, now)
        self._notices.send(peers, now)
        self._update_limits(now)
        self._initial_state.send()

    def announce_unavailable(self, server: str, seconds: float) -> None:
        """Keep all VMs from sending requests to a server for some seconds."""
        self._context.work.mark_unavailable(server, self._reactor.seconds() + seconds)
        self._context.pending_updates.add_unavailable(server, seconds)
        self.send()

    def record_cached_parts(
        self, server: BackendServer, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Record the prompt parts that an engine caches, and send them to the peers."""
        added = self._receiver.record_parts(server.name, parts)
        self._context.pending_updates.add_parts(server.name, added)

    def get_copies(self, window: int) -> dict[str, dict[str, int]]:
        """Return the counts of a usage window by process, the own included."""
        rows = self._context.usage.list_rows(KEPT_WINDOWS)
        own = {
            customer: count
            for row_window, customer, count in rows
            if row_window == window
        }
        return {**self._copies.get(window), self._incarnation: own}

    def _update_limits(self, now: float) -> None:
        limiter = self._context.notices.limiter
        alive = len(self._members.list_alive(now))
        limiter.vms = VmCounts(alive, len(self._members.entries))
        limiter.update(self._context.fleet.fleet, now)

    def _count_peers(self) -> int:
        local = sum(
            member.data_centre == self._data_centre
            for member in self._members.entries.values()
        )
        return local + len(self._tracker.peers.selected_relays)


def find_update_interval(peers: int) -> float:
    """Return the seconds between two messages to the peers."""
    return UPDATE_INTERVAL_SECONDS * max(1.0, peers / PEERS_AT_FULL_RATE)
