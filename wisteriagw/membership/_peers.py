"""Peers that a VM sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._status import SUSPECT_SECONDS, get_status
from wisteriagw.membership._topology import (
    choose_pair_relay,
    uses_relays,
)
from wisteriagw.membership._vm_status import VmStatus

if TYPE_CHECKING:
    from wisteriagw.membership._membership_state import MembershipState


def list_direct_peers(state: MembershipState) -> list[str]:
    """Return the VMs that this VM exchanges heartbeats with at all times."""
    relayed = uses_relays(state)
    return [
        member.vm
        for member in state.members.values()
        if member.vm != state.vm
        and not (relayed and member.data_centre != state.data_centre)
    ]


def list_relay_peers(state: MembershipState, now: float) -> list[str]:
    """Return the relay peers of this VM in other data centres, if it is a relay."""
    if not uses_relays(state):
        return []
    alive: dict[str, list[str]] = {}
    listed: dict[str, list[str]] = {}
    for member in state.members.values():
        listed.setdefault(member.data_centre, []).append(member.vm)
        if get_status(state, member, now) is VmStatus.ALIVE:
            alive.setdefault(member.data_centre, []).append(member.vm)
    peers = []
    own, names = state.data_centre, state.data_centres
    for other in names:
        if other == own:
            continue
        if choose_pair_relay(own, other, names, alive[own]) != state.vm:
            continue
        # A data centre without any VM known to be alive is tried at its usual relay.
        usual = choose_pair_relay(other, own, names, alive.get(other) or listed[other])
        peers.extend(sorted({usual, *_list_recent_senders(state, other, now)} - {None}))
    return peers


def _list_recent_senders(state: MembershipState, other: str, now: float) -> list[str]:
    """Return the VMs of another data centre that currently send to this VM.

    After the loss of its relays, the other side has a new relay that is not known
    here. Without a reply that echoes its clock, its messages cannot be dated.
    """
    return [
        member.vm
        for member in state.members.values()
        if member.data_centre == other and now - member.last_seen_at < SUSPECT_SECONDS
    ]
