"""Relays of the data centres and the peers that this VM sends updates to."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.gateway._served_vm import ServedVm
from wisteriagw.mesh import PeerAddress
from wisteriagw.relays import PeerFailureDetector, RelayPeers, choose_relay_peers
from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from wisteriagw.gateway._members import Members
    from wisteriagw.mesh import Mesh

logger = logging.getLogger(__name__)

# Initial suspicion timeout of relays; it is then set from the update interval.
SUSPICION_TIMEOUT_SECONDS = 1.0


class RelayPeerTracker:
    """Tracks the relay peers of this VM and keeps the connections to them.

    Attributes
    ----------
    peers : RelayPeers
        Peers as last selected.
    failure_detector : PeerFailureDetector
        Detector of peers that do not answer.
    served : dict of str to ServedVm
        VMs of the own data centre by their last message.
    """

    def __init__(self, mesh: Mesh, members: Members, own: tuple[str, str]) -> None:
        self.peers = RelayPeers()
        self.failure_detector = PeerFailureDetector(SUSPICION_TIMEOUT_SECONDS)
        self.served: dict[str, ServedVm] = {}
        self._mesh = mesh
        self._members = members
        self._own = own
        self._relay_seen_at: dict[str, float] = {}
        self._selected_at = float("-inf")

    def record_local_message(self, vm: str, sequence: int, now: float) -> None:
        """Record an update from a VM of the own data centre."""
        self.served[vm] = ServedVm(sequence, now)
        self.failure_detector.record_message(vm, now)

    def record_relay_message(self, vm: str, selected: bool, now: float) -> None:
        """Record an update from a relay, which may have selected this VM as one."""
        self._relay_seen_at[vm] = now
        self.failure_detector.record_message(vm, now)
        if selected:
            self._selected_at = now

    def list_served(self, now: float) -> list[str]:
        """Return the VMs of the own data centre that have recently sent updates."""
        return [
            vm
            for vm, known in self.served.items()
            if now - known.at <= self.failure_detector.suspicion_timeout
        ]

    def update(self, now: float) -> RelayPeers:
        """Select the peers again and connect to them."""
        entries = self._members.entries
        for vm in [*self.served, *self._relay_seen_at]:
            if vm not in entries:
                self.served.pop(vm, None)
                self._relay_seen_at.pop(vm, None)
                self.failure_detector.remove(vm)
        data_centres: dict[str, dict[str, float]] = {}
        for member in entries.values():
            data_centres.setdefault(member.data_centre, {})[member.vm] = member.capacity
        timeout = self.failure_detector.suspicion_timeout
        peers = choose_relay_peers(
            self._own,
            data_centres,
            lambda vm: (
                vm != self._own[0] and self.failure_detector.is_suspected(vm, now)
            ),
            lambda vm: self.failure_detector.is_probed(vm, now),
            self.list_served(now),
            [vm for vm, at in self._relay_seen_at.items() if now - at <= timeout],
            now - self._selected_at <= timeout,
        )
        self.failure_detector.set_expected({*peers.relays, *peers.selected_relays}, now)
        if (peers.relays, peers.is_relay) != (self.peers.relays, self.peers.is_relay):
            logger.info(
                "relays of %s: %s; relay itself: %s",
                self._own[1],
                peers.relays,
                peers.is_relay,
            )
        self.peers = peers
        self._mesh.set_peers(
            PeerAddress(vm, entries[vm].host, entries[vm].port)
            for vm in sorted(peers.list_all())
        )
        return peers

    def is_initial_state_sender(self, vm: str) -> bool:
        """Return whether this VM sends a new process its initial state."""
        own_vm, data_centre = self._own
        entry = self._members.entries.get(vm)
        local = entry is not None and entry.data_centre == data_centre
        others = self.peers.relays if local else self.peers.selected_relays
        candidates = {own_vm, *others} - {vm}
        return self.peers.is_relay and rank_names(vm, candidates)[0] == own_vm
