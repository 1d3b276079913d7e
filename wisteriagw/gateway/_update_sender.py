"""Sending of state updates to the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._deltas import Deltas
from wisteriagw.gateway._due_usage import NO_WINDOW, DueUsage
from wisteriagw.gateway._served_window import ServedWindow
from wisteriagw.gateway._usage_delegation import choose_usage_relay
from wisteriagw.messages import FleetUpdate, GatewayUpdate, RelayUpdate

if TYPE_CHECKING:
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._relay_peer_tracker import RelayPeerTracker
    from wisteriagw.gateway._relay_queues import RelayQueues
    from wisteriagw.gateway._sent_update_log import SentUpdateLog
    from wisteriagw.gateway._served_usage import ServedUsage
    from wisteriagw.mesh import Mesh
    from wisteriagw.relays import RelayPeers

# The list of live VMs is sent at this interval; updates in between omit it.
LIST_INTERVAL_SECONDS = 0.3


class UpdateSender:
    """Sends the updates of this VM and, if it is a relay, those for other VMs."""

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        tracker: RelayPeerTracker,
        queues: RelayQueues,
        sent: SentUpdateLog,
        incarnation: str,
        is_ready: Any,
        served_usage: ServedUsage,
        usage_through_relays: bool,
    ) -> None:
        settings = context.settings
        self._context = context
        self._started_at = context.reactor.seconds()
        self._mesh = mesh
        self._members = members
        self._tracker = tracker
        self._queues = queues
        self._sent = sent
        self._incarnation = incarnation
        self._is_ready = is_ready
        self._served_usage = served_usage
        self._usage_through_relays = usage_through_relays
        self._vm = settings.vm
        self._data_centre = settings.data_centre
        self._listed_at = float("-inf")

    def send(self, peers: RelayPeers, now: float) -> None:
        """Send what has changed since the last updates."""
        deltas = self._pop_own_deltas(now)
        usage = self._pop_due_usage(peers, now)
        sums = self._context.sums.list_own(now)
        if peers.is_relay:
            self._queues.for_relays.add(deltas)
            self._queues.for_served_vms.add(deltas)
            earliest = self._members.find_earliest_start(now)
            oldest = now - min(self._started_at, earliest)
            self._send_relay_update(peers, usage.rows, sums, oldest, now)
            self._send_fleet_update(peers, sums, oldest, now)
            deltas = Deltas()
        else:
            # Only relays distribute register changes; other VMs discard theirs.
            self._context.fleet.pop_changes()
        self._send_gateway_update(peers, deltas, usage, sums, now)

    def _pop_due_usage(self, peers: RelayPeers, now: float) -> DueUsage:
        """Choose the relay that writes the usage, and return the rows that are due."""
        context, served = self._context, self._served_usage
        local = sum(
            member.data_centre == self._data_centre
            for member in self._members.entries.values()
        )
        # The counts of the last window, or of the one before at the end of a window.
        serves = served.serves(self._vm, context.usage.get_window() - 2)
        relay = None
        if self._usage_through_relays:
            relay = choose_usage_relay(self._vm, peers, local, serves)
        context.pending_updates.usage_relay = relay
        usage = context.pending_updates.pop_due_usage(now)
        if relay == self._vm and usage.closed_window != NO_WINDOW:
            key = ServedWindow(self._vm, self._incarnation, usage.closed_window)
            served.record_closed(key, usage.get_closed_counts(), now)
            return usage._replace(closed_window=NO_WINDOW)
        return usage

    def _send_usage_confirmations(self, update: FleetUpdate) -> set[str]:
        """Send an update to the VMs whose usage was stored, and return these VMs."""
        confirmations = self._served_usage.pop_confirmations()
        for _, window, digest in confirmations.pop(self._vm, ()):
            self._context.usage.record_stored(window, digest)
        for vm, rows in confirmations.items():
            self._mesh.send(vm, update._replace(usage_stored=rows))
        return set(confirmations)

    def _pop_own_deltas(self, now: float) -> Deltas:
        context = self._context
        results = context.work.pop_unsent_results(now)
        deltas = context.pending_updates.queue.pop()
        return deltas._replace(results=tuple((*row, self._vm) for row in results))

    def _send_gateway_update(
        self,
        peers: RelayPeers,
        deltas: Deltas,
        usage: DueUsage,
        sums: tuple,
        now: float,
    ) -> None:
        work = tuple(self._context.work.list_own_work())
        sequence = self._sent.add(work, sums, now)
        if not peers.relays:
            return
        update = GatewayUpdate(
            self._is_ready(),
            work,
            incarnation=self._incarnation,
            uptime=now - self._started_at,
            usage=usage.rows,
            sequence=sequence,
            configuration_version=self._context.configuration.get_version(),
            era=self._context.eras.era,
            sums=sums,
        )
        # Only one relay forwards the deltas, so that nothing is counted twice, and
        # writes the usage.
        first = update._replace(closed_window=usage.closed_window, **deltas._asdict())
        self._mesh.send(peers.relays[0], first)
        self._mesh.multicast(peers.relays[1:], update)

    def _send_relay_update(
        self,
        peers: RelayPeers,
        usage: tuple,
        sums: tuple,
        oldest: float,
        now: float,
    ) -> None:
        served = self._tracker.list_served(now)
        update = RelayUpdate(
            self._data_centre,
            True,
            self._incarnation,
            oldest,
            self._list_local(served, now) if self._is_list_due(now) else (),
            tuple(self._context.work.sum_work(now, served)),
            *self._queues.for_relays.pop(),
            usage=() if peers.relays else usage,
            configuration_version=self._context.configuration.get_version(),
            era=self._context.eras.era,
            sums=self._context.sums.sum_rows(sums, now, served),
        )
        self._mesh.multicast(peers.selected_relays, update)
        self._mesh.multicast(peers.reply_peers, update._replace(selected=False))

    def _send_fleet_update(
        self, peers: RelayPeers, sums: tuple, oldest: float, now: float
    ) -> None:
        deltas = self._queues.for_served_vms.pop()
        changes = self._context.fleet.pop_changes()
        list_due = self._is_list_due(now)
        if list_due:
            self._listed_at = now
        if not peers.served_vms:
            return
        read_at = self._context.fleet.follower.read_at
        era = self._context.fleet.era
        served = self._tracker.served
        update = FleetUpdate(
            oldest,
            tuple(
                (vm, served[vm].sequence, now - served[vm].at)
                for vm in peers.served_vms
            ),
            self._context.configuration.get_version(),
            self._context.configuration.get_age(),
            self._context.fleet.compute_digest(),
            now - read_at,
            tuple(tuple(record[:3]) for record in changes if record.era == era),
            tuple(self._members.list_ages(now, self._is_ready())) if list_due else (),
            tuple(self._context.work.sum_work(now)),
            *deltas,
            era,
            self._context.sums.sum_rows(sums, now),
        )
        confirmed = self._send_usage_confirmations(update)
        others = [vm for vm in peers.served_vms if vm not in confirmed]
        self._mesh.multicast(others, update)

    def _is_list_due(self, now: float) -> bool:
        return now - self._listed_at >= LIST_INTERVAL_SECONDS

    def _list_local(self, served: list[str], now: float) -> tuple:
        local = {self._vm, *served}
        return tuple(
            row
            for row in self._members.list_ages(now, self._is_ready())
            if row[0] in local
        )
