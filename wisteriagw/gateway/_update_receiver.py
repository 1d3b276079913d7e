"""Receipt of state updates from the other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._deltas import Deltas
from wisteriagw.gateway._due_usage import NO_WINDOW, get_window_counts
from wisteriagw.gateway._read_confirmation import apply_read_confirmation
from wisteriagw.gateway._served_window import ServedWindow
from wisteriagw.messages import (
    CachedPartsTransfer,
    FleetUpdate,
    GatewayUpdate,
    RelayUpdate,
)
from wisteriagw.platform import StoreRecord
from wisteriagw.sums import ALL_VMS_KEY

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.gateway._initial_state_transfer import InitialStateTransfer
    from wisteriagw.gateway._members import Members
    from wisteriagw.gateway._relay_peer_tracker import RelayPeerTracker
    from wisteriagw.gateway._relay_queues import RelayQueues
    from wisteriagw.gateway._sent_update_log import SentUpdateLog
    from wisteriagw.gateway._usage_copies import UsageCopies
    from wisteriagw.mesh import Mesh


class UpdateReceiver:
    """Applies updates from the mesh, and forwards rows if this VM is a relay."""

    def __init__(
        self,
        context: GatewayContext,
        mesh: Mesh,
        members: Members,
        tracker: RelayPeerTracker,
        queues: RelayQueues,
        sent: SentUpdateLog,
        copies: UsageCopies,
        initial_state: InitialStateTransfer,
        incarnation: str,
    ) -> None:
        self._context = context
        self._reactor: Any = context.reactor
        self._members = members
        self._tracker = tracker
        self._queues = queues
        self._sent = sent
        self._copies = copies
        self._initial_state = initial_state
        self._incarnation = incarnation
        self._vm = context.settings.vm
        self._data_centre = context.settings.data_centre
        mesh.subscribe(GatewayUpdate, self._handle_gateway_update)
        mesh.subscribe(RelayUpdate, self._handle_relay_update)
        mesh.subscribe(FleetUpdate, self._handle_fleet_update)
        mesh.subscribe(CachedPartsTransfer, self._handle_parts_transfer)

    def record_parts(
        self, server: str, parts: Iterable[tuple[str, int]]
    ) -> list[tuple[str, int]]:
        """Record parts that an engine caches and return those that are new."""
        known = self._context.fleet.fleet.servers.get(server)
        table = self._context.configuration.table
        service = table.services.get(known.service) if known and table else None
        if service is None or service.engine is None:
            return []
        capacity = service.engine.capacity_tokens
        return self._context.work.parts.record_use(server, parts, capacity)

    def _handle_gateway_update(self, sender: str, update: GatewayUpdate) -> None:
        now = self._reactor.seconds()
        entry = self._members.entries.get(sender)
        if entry is None or entry.data_centre != self._data_centre:
            # The data centre of the sender is unknown until its entry is read.
            return
        self._tracker.record_local_message(sender, update.sequence, now)
        self._observe_store(update)
        self._members.record_seen(sender, update.ready, now)
        self._members.record_start(sender, now - update.uptime)
        self._context.work.apply_peer_work(sender, update.work, now)
        self._context.sums.apply_peer_rows(sender, update.sums, now)
        self._copies.record_counts(sender, update.incarnation, update.usage, now)
        self._record_closed_window(sender, update, now)
        self._initial_state.record_process(sender, update.incarnation)
        self._queues.for_relays.add(self._forward(update, now))

    def _handle_relay_update(self, sender: str, update: RelayUpdate) -> None:
        now = self._reactor.seconds()
        self._tracker.record_relay_message(sender, update.selected, now)
        self._observe_store(update)
        self._record_seen(update.live_vms, now)
        self._members.record_start(sender, now - update.uptime)
        if update.data_centre != self._data_centre:
            key = f"data centre {update.data_centre}"
            self._context.work.apply_peer_work(key, update.work, now)
            self._context.sums.apply_peer_rows(key, update.sums, now)
        self._copies.record_counts(sender, update.incarnation, update.usage, now)
        self._initial_state.record_process(sender, update.incarnation)
        self._forward(update, now)

    def _handle_fleet_update(self, sender: str, update: FleetUpdate) -> None:
        now = self._reactor.seconds()
        self._tracker.failure_detector.record_message(sender, now)
        for incarnation, window, digest in update.usage_stored:
            if incarnation == self._incarnation:
                self._context.usage.record_stored(window, digest)
        peers = self._tracker.peers
        if peers.is_relay or sender not in peers.relays:
            return
        self._observe_store(update)
        self._record_seen(update.live_vms, now)
        self._members.record_start(sender, now - update.uptime)
        found = self._sent.find(update.received)
        own = found[0].work if found else self._context.work.list_own_work()
        # The relay has left own rows out that had lapsed, and those of another process
        # under this name count as another VM's.
        sums = self._context.sums
        contained = found is not None and found[1] < sums.valid_seconds
        own_sums = found[0].sums if contained else ()
        sums.apply_peer_rows(ALL_VMS_KEY, update.sums, now, own_sums)
        self._context.work.apply_peer_work(
            ALL_VMS_KEY, subtract_work(update.work, own), now
        )
        if sender == peers.relays[0]:
            self._apply(update, now)
        self._context.fleet.apply_relayed_changes(
            StoreRecord(offset, server, value, update.era)
            for offset, server, value in update.entries
        )
        if found:
            sent_update, age = found
            apply_read_confirmation(self._context, update, sent_update.at + age)

    def _handle_parts_transfer(
        self, sender: str, transfer: CachedPartsTransfer
    ) -> None:
        for server, part, tokens in transfer.parts:
            self.record_parts(server, ((part, tokens),))
        self._queues.for_served_vms.add_parts(transfer.parts)

    def _record_closed_window(
        self, sender: str, update: GatewayUpdate, now: float
    ) -> None:
        window = update.closed_window
        if window == NO_WINDOW:
            return
        counts = get_window_counts(update.usage, window)
        key = ServedWindow(sender, update.incarnation, window)
        self._copies.served.record_closed(key, counts, now)

    def _observe_store(self, update: GatewayUpdate | RelayUpdate | FleetUpdate) -> None:
        # An era of 0 is also that of a sender that knows none.
        self._context.eras.observe(update.era or None)
        if update.configuration_version > self._context.configuration.get_version():
            self._context.configuration.remember(update.configuration_version)

    def _record_seen(self, rows: Iterable[tuple], now: float) -> None:
        for vm, ready, age in rows:
            self._members.record_seen(vm, ready, now - age)

    def _forward(self, update: GatewayUpdate | RelayUpdate, now: float) -> Deltas:
        """Apply the rows of an update and queue them for the served VMs."""
        deltas = self._apply(update, now)
        self._queues.for_served_vms.add(deltas)
        return deltas

    def _apply(
        self, update: GatewayUpdate | RelayUpdate | FleetUpdate, now: float
    ) -> Deltas:
        deltas = Deltas(update.parts, update.unavailable, update.results)
        work = self._context.work
        for server, failures, answers, origin in deltas.results:
            if origin != self._vm:
                work.apply_results(server, failures, answers, now)
        for server, seconds in deltas.unavailable:
            work.mark_unavailable(server, now + seconds)
        for server, part, tokens in deltas.parts:
            self.record_parts(server, ((part, tokens),))
        return deltas


def subtract_work(total: Iterable[tuple], part: Iterable[tuple]) -> list[tuple]:
    """Return rows of backend server, tokens and streams less those of a part."""
    own = {server: (tokens, streams) for server, tokens, streams in part}
    rows = []
    for server, tokens, streams in total:
        own_tokens, own_streams = own.get(server, (0.0, 0.0))
        rows.append(
            (server, max(0.0, tokens - own_tokens), max(0.0, streams - own_streams))
        )
    return rows
