"""Fold of lease records into the leases of all authorities."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.leases._former_holder import FormerHolder
from wisteriagw.leases._lease import NO_OFFSET, Lease
from wisteriagw.leases._lease_entry import LeaseEntry
from wisteriagw.leases._lease_state import LeaseState
from wisteriagw.records import (
    LeaseCheckpoint,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseReset,
)

# A term outside of these bounds would expire at once or block every other claimant.
MIN_TERM_SECONDS = 1.0
MAX_TERM_SECONDS = 60.0


def build_empty_leases() -> LeaseState:
    """Return the leases before the first record."""
    return LeaseState(start=0, entries={})


def get_entry(state: LeaseState, authority: str) -> LeaseEntry:
    """Return what is known of an authority, also if it has no record."""
    entry = state.entries.get(authority)
    if entry is not None:
        return entry
    lease = Lease() if state.start == 0 else None
    return LeaseEntry(lease, NO_OFFSET, NO_OFFSET)


def apply_record_loss(state: LeaseState, first_offset: int) -> LeaseState:
    """Return the leases after the loss of records before an offset: none is known."""
    return LeaseState(start=first_offset, entries={})


def apply_record(record: Any, state: LeaseState, offset: int) -> LeaseState:
    """Return the leases after a record."""
    authority = getattr(record, "authority", None)
    if authority is None:
        return state
    entry = get_entry(state, authority)
    lease = _apply(record, entry, state.start, offset)
    checkpoint = entry.last_checkpoint
    if isinstance(record, LeaseCheckpoint):
        checkpoint = offset
    entries = {**state.entries, authority: LeaseEntry(lease, offset, checkpoint)}
    return state._replace(entries=entries)


def describe_lease(lease: Lease) -> dict[str, Any]:
    """Return the fields of a lease for a checkpoint."""
    fields = lease._asdict()
    fields["former"] = [list(former) for former in lease.former]
    return fields


@singledispatch
def _apply(record: Any, entry: LeaseEntry, start: int, offset: int) -> Lease | None:
    return entry.lease


@_apply.register
def _(record: LeaseClaim, entry: LeaseEntry, start: int, offset: int) -> Lease | None:
    lease = entry.lease
    if lease is None or record.based_on != lease.head:
        return lease
    if not MIN_TERM_SECONDS <= record.term <= MAX_TERM_SECONDS:
        return lease
    return Lease(
        head=offset,
        head_nonce=record.nonce,
        grant=offset,
        vm=record.holder,
        incarnation=record.incarnation,
        control_address=record.control_address,
        term=record.term,
        former=_list_former(lease),
    )


@_apply.register
def _(record: LeaseRenewal, entry: LeaseEntry, start: int, offset: int) -> Lease | None:
    lease = entry.lease
    if lease is None or record.based_on != lease.head or record.grant != lease.grant:
        return lease
    return lease._replace(head=offset, head_nonce=record.nonce)


@_apply.register
def _(record: LeaseRelease, entry: LeaseEntry, start: int, offset: int) -> Lease | None:
    lease = entry.lease
    if lease is None:
        return lease
    if record.grant == lease.grant and record.vm == lease.vm:
        if record.based_on != lease.head:
            return lease
        return Lease(head=offset, former=lease.former)
    ended = (record.grant, record.vm)
    former = tuple(one for one in lease.former if (one.grant, one.vm) != ended)
    return lease._replace(former=former)


@_apply.register
def _(record: LeaseReset, entry: LeaseEntry, start: int, offset: int) -> Lease | None:
    # Whether the authority has a record between first_offset and this one does not
    # depend on where a reader started, so all readers that know it agree.
    if not 0 < record.first_offset <= record.through + 1 <= offset:
        return entry.lease
    if entry.last_record >= record.first_offset or start > record.through + 1:
        return entry.lease
    former = tuple(FormerHolder(offset, str(vm), "", "") for vm in record.vms)
    return Lease(head=offset, head_nonce=record.nonce, former=former)


@_apply.register
def _(
    record: LeaseCheckpoint, entry: LeaseEntry, start: int, offset: int
) -> Lease | None:
    if entry.lease is not None:
        return entry.lease
    if not start <= record.through + 1 <= offset or entry.last_record > record.through:
        return None
    return _restore_lease(record.lease)


def _restore_lease(fields: dict[str, Any]) -> Lease | None:
    try:
        lease = Lease(**fields)
        former = tuple(FormerHolder(*values) for values in lease.former)
    except TypeError:
        return None
    return lease._replace(former=former)


def _list_former(lease: Lease) -> tuple[FormerHolder, ...]:
    if lease.grant == NO_OFFSET:
        return lease.former
    holder = FormerHolder(
        lease.grant, lease.vm, lease.incarnation, lease.control_address
    )
    return (*lease.former, holder)
