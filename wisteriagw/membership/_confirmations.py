"""Confirmations of all known VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._confirmation import Confirmation
from wisteriagw.membership._evidence import PERMIT_SECONDS
from wisteriagw.membership._member import NEVER
from wisteriagw.membership._summaries import list_summaries
from wisteriagw.membership._topology import uses_relays

if TYPE_CHECKING:
    from wisteriagw.membership._membership_state import MembershipState

# The settling time of a restarted VM, SETTLE_SECONDS, depends on this bound.
CONFIRMATION_SECONDS = PERMIT_SECONDS


def list_confirmations(
    state: MembershipState, revision: int, established: bool, now: float
) -> list[Confirmation]:
    """Return the confirmations of all VMs on the VM list, including the local one."""
    relayed = uses_relays(state)
    names = state.data_centres
    confirmations = []
    for member in state.members.values():
        if member.vm == state.vm:
            if not state.listed:
                continue
            confirmed = revision if established else -1
            own = Confirmation(state.vm, state.vm_list_digest, confirmed, now)
            confirmations.append(own)
            continue
        if relayed and member.data_centre != state.data_centre:
            bit = 1 << names.index(member.data_centre)
            confirmations.append(_confirm_remote(state, member.vm, bit, now))
            continue
        confirmed = member.config_revision if member.established else -1
        confirmations.append(
            Confirmation(member.vm, member.vm_list_digest, confirmed, member.proved_at)
        )
    return confirmations


def _confirm_remote(
    state: MembershipState, vm: str, bit: int, now: float
) -> Confirmation:
    for summary, proved_at in list_summaries(state, now):
        if not summary.data_centres & bit or vm in summary.uncounted:
            continue
        digest = state.vm_list_digest
        return Confirmation(vm, digest, summary.lowest_revision, proved_at)
    return Confirmation(vm, 0, -1, NEVER)
