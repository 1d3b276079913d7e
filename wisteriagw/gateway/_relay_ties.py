"""Peers that this VM sends its messages to."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from wisteriagw.gateway._served_vm import ServedVm
from wisteriagw.mesh import PeerAddress
from wisteriagw.relays import AnswerWatch, Links, choose_links
from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from wisteriagw.gateway._members import Members
    from wisteriagw.mesh import Mesh

logger = logging.getLogger(__name__)

# Silence after which another VM is taken as relay, until it is set by the rate of the
# messages.
PATIENCE_SECONDS = 1.0


class RelayTies:
    """Follows who relays for whom, and keeps the connections to these peers.

    Attributes
    ----------
    links : Links
        Peers as of the last update.
    watch : AnswerWatch
        Peers that do not answer.
    served : dict of str to ServedVm
        VMs of the own data centre by their last message.
    """

    def __init__(self, mesh: Mesh, members: Members, own: tuple[str, str]) -> None:
        self.links = Links()
        self.watch = AnswerWatch(PATIENCE_SECONDS)
        self.served: dict[str, ServedVm] = {}
        self._mesh = mesh
        self._members = members
        self._own = own
        self._spoke_at: dict[str, float] = {}
        self._addressed_at = float("-inf")

    def note_member(self, vm: str, sequence: int, now: float) -> None:
        """Take a message of a VM of the own data centre."""
        self.served[vm] = ServedVm(sequence, now)
        self.watch.note_heard(vm, now)

    def note_relay(self, vm: str, chosen: bool, now: float) -> None:
        """Take a message of a relay, which may have chosen this VM as one."""
        self._spoke_at[vm] = now
        self.watch.note_heard(vm, now)
        if chosen:
            self._addressed_at = now

    def list_served(self, now: float) -> list[str]:
        """Return the VMs of the own data centre that are heard."""
        return [
            vm
            for vm, known in self.served.items()
            if now - known.at <= self.watch.patience
        ]

    def update(self, now: float) -> Links:
        """Choose the peers again and connect to them."""
        entries = self._members.entries
        for vm in [*self.served, *self._spoke_at]:
            if vm not in entries:
                self.served.pop(vm, None)
                self._spoke_at.pop(vm, None)
                self.watch.forget(vm)
        centres: dict[str, dict[str, float]] = {}
        for member in entries.values():
            centres.setdefault(member.data_centre, {})[member.vm] = member.capacity
        patience = self.watch.patience
        links = choose_links(
            self._own,
            centres,
            lambda vm: vm != self._own[0] and self.watch.is_silent(vm, now),
            lambda vm: self.watch.is_probed(vm, now),
            self.list_served(now),
            [vm for vm, at in self._spoke_at.items() if now - at <= patience],
            now - self._addressed_at <= patience,
        )
        self.watch.note_asked({*links.relays, *links.chosen}, now)
        if (links.relays, links.acting) != (self.links.relays, self.links.acting):
            logger.info(
                "relays of %s: %s; relay itself: %s",
                self._own[1],
                links.relays,
                links.acting,
            )
        self.links = links
        self._mesh.set_peers(
            PeerAddress(vm, entries[vm].host, entries[vm].port)
            for vm in sorted(links.list_peers())
        )
        return links

    def is_greeter(self, vm: str) -> bool:
        """Return whether this VM is the one that tells a new process what it knows."""
        own_vm, data_centre = self._own
        entry = self._members.entries.get(vm)
        near = entry is not None and entry.data_centre == data_centre
        others = self.links.relays if near else self.links.chosen
        candidates = {own_vm, *others} - {vm}
        return self.links.acting and rank_names(vm, candidates)[0] == own_vm
