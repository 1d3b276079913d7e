"""Peers that a VM sends to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._status import SUSPECT_SECONDS, get_status
from wisteriagw.membership._topology import (
    choose_pair_relay,
    is_split,
)
from wisteriagw.membership._vm_status import VmStatus

if TYPE_CHECKING:
    from wisteriagw.membership._membership_state import MembershipState


def list_direct_peers(state: MembershipState) -> list[str]:
    """Return the VMs that this VM exchanges heartbeats with at all times."""
    split = is_split(state)
    return [
        member.vm
        for member in state.members.values()
        if member.vm != state.vm
        and not (split and member.data_centre != state.data_centre)
    ]


def list_relay_peers(state: MembershipState, now: float) -> list[str]:
    """Return the relays of other data centres that this VM, as a relay, talks to."""
    if not is_split(state):
        return []
    present: dict[str, list[str]] = {}
    listed: dict[str, list[str]] = {}
    for member in state.members.values():
        listed.setdefault(member.data_centre, []).append(member.vm)
        if get_status(state, member, now) is VmStatus.ALIVE:
            present.setdefault(member.data_centre, []).append(member.vm)
    peers = []
    own, names = state.data_centre, state.data_centres
    for other in names:
        if other == own:
            continue
        if choose_pair_relay(own, other, names, present[own]) != state.vm:
            continue
        # A data centre that is not heard of is tried at its usual relay.
        usual = choose_pair_relay(
            other, own, names, present.get(other) or listed[other]
        )
        peers.extend(sorted({usual, *_list_speakers(state, other, now)} - {None}))
    return peers


def _list_speakers(state: MembershipState, other: str, now: float) -> list[str]:
    """Return the VMs of another data centre that speak to this one now.

    After the loss of its relays the other side has a new one that is not known here;
    without an answer that echoes its clock, nothing it says could be dated.
    """
    return [
        member.vm
        for member in state.members.values()
        if member.data_centre == other and now - member.heard_at < SUSPECT_SECONDS
    ]
