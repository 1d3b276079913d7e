"""Status of the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._topology import is_split
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
    if is_split(state) and member.data_centre != state.data_centre:
        return _get_remote_status(state, member, now)
    heard = max(member.heard_at, member.vouched_at, state.watching_since)
    return _rate_silence(now - heard)


def is_leaving(member: Member) -> bool:
    """Return whether a VM says that it is leaving, or the VM list does."""
    return member.leaving or member.listed_leaving


def list_available(state: MembershipState, now: float) -> list[Member]:
    """Return the VMs that may be named to callers."""
    return [
        member
        for member in state.members.values()
        if not is_leaving(member) and get_status(state, member, now) is VmStatus.ALIVE
    ]


def _get_remote_status(state: MembershipState, member: Member, now: float) -> VmStatus:
    bit = 1 << state.data_centres.index(member.data_centre)
    best = state.watching_since
    for heard in state.summaries.values():
        if heard.summary.data_centres & bit:
            if member.vm in heard.summary.absent:
                return VmStatus.FAILED
            best = max(best, heard.proved_at)
    heard_digest = state.digests.get(member.data_centre)
    if heard_digest is not None:
        if member.vm in heard_digest.digest.absent:
            return VmStatus.FAILED
        best = max(best, heard_digest.proved_at)
    return _rate_silence(now - best)


def _rate_silence(silence: float) -> VmStatus:
    if silence < SUSPECT_SECONDS:
        return VmStatus.ALIVE
    if silence < FAIL_SECONDS:
        return VmStatus.SUSPECT
    return VmStatus.FAILED
