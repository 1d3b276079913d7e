"""Status of the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._topology import uses_relays
from wisteriagw.membership._vm_status import VmStatus

if TYPE_CHECKING:
    from wisteriagw.membership._member import Member
    from wisteriagw.membership._membership_state import MembershipState

HEARTBEAT_SECONDS = 1.0
SUSPECT_SECONDS = 3.0
FAIL_SECONDS = 6.0


def get_status(state: MembershipState, member: Member, now: float) -> VmStatus:
    """Return whether a VM is alive, as far as this VM can tell."""
    if member.vm == state.vm:
        return VmStatus.ALIVE
    if uses_relays(state) and member.data_centre != state.data_centre:
        return _get_remote_status(state, member, now)
    last_seen_at = max(
        member.last_seen_at, member.seen_by_peer_at, state.observing_since
    )
    return _derive_status(now - last_seen_at)


def is_leaving(member: Member) -> bool:
    """Return whether a VM is leaving by its own report or by the VM list."""
    return member.leaving or member.listed_leaving


def list_available(state: MembershipState, now: float) -> list[Member]:
    """Return the VMs whose addresses may be given to callers."""
    return [
        member
        for member in state.members.values()
        if not is_leaving(member) and get_status(state, member, now) is VmStatus.ALIVE
    ]


def _get_remote_status(state: MembershipState, member: Member, now: float) -> VmStatus:
    bit = 1 << state.data_centres.index(member.data_centre)
    latest = state.observing_since
    for received in state.summaries.values():
        if received.summary.data_centres & bit:
            if member.vm in received.summary.absent:
                return VmStatus.FAILED
            latest = max(latest, received.proved_at)
    received_digest = state.digests.get(member.data_centre)
    if received_digest is not None:
        if member.vm in received_digest.digest.absent:
            return VmStatus.FAILED
        latest = max(latest, received_digest.proved_at)
    return _derive_status(now - latest)


def _derive_status(unseen_seconds: float) -> VmStatus:
    if unseen_seconds < SUSPECT_SECONDS:
        return VmStatus.ALIVE
    if unseen_seconds < FAIL_SECONDS:
        return VmStatus.SUSPECT
    return VmStatus.FAILED
