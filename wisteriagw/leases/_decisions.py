"""Decisions of the holder of an authority and of other claimants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.leases._fold import describe_lease
from wisteriagw.leases._lease import NO_OFFSET
from wisteriagw.leases._observation import Observation
from wisteriagw.records import (
    LeaseCheckpoint,
    LeaseClaim,
    LeaseRelease,
    LeaseRenewal,
    LeaseReset,
)

if TYPE_CHECKING:
    from wisteriagw.leases._former_holder import FormerHolder
    from wisteriagw.leases._lease import Lease
    from wisteriagw.leases._lease_view import LeaseView
    from wisteriagw.leases._process_identity import ProcessIdentity

TERM_SECONDS = 10.0
RENEWAL_INTERVAL_SECONDS = 2.0
# Covers clocks that run at slightly different rates.
CLAIM_MARGIN_SECONDS = 3.0
# Covers the time between the check of the term and the last byte of an order; a
# connection attempt of the HTTP client times out after 1 s.
ACT_MARGIN_SECONDS = 2.0
# After a longer time without a read to the tip, the observation restarts, so that a
# holder that could not reach the log either gets the time to renew.
MAX_READ_GAP_SECONDS = 3.0
# With a renewal every 2 s, a new reader waits for a checkpoint for 40 s at most.
CHECKPOINT_RECORDS = 20


def observe_tip(observation: Observation | None, head: int, now: float) -> Observation:
    """Return the observation after a read to the tip whose reply arrived at ``now``."""
    if observation is None or observation.head != head:
        return Observation(head, now, now)
    if now - observation.last_read_at > MAX_READ_GAP_SECONDS:
        return Observation(head, now, now)
    return observation._replace(last_read_at=now)


def compute_act_until(
    lease: Lease | None, process: ProcessIdentity, appends: dict[str, float]
) -> float | None:
    """Return the time until which a process may act, or None if it is not the holder.

    The term counts from the start of the append of the last accepted record: a reply
    may take any time to arrive.
    """
    if lease is None or lease.incarnation != process.incarnation:
        return None
    started_at = appends.get(lease.head_nonce)
    if started_at is None:
        return None
    return started_at + lease.term - ACT_MARGIN_SECONDS


def list_unproved_holders(view: LeaseView) -> tuple[FormerHolder, ...]:
    """Return the former holders whose end is not proved.

    A holder was on the VM list before it claimed, so a VM that is missing from a list
    read after the grant in force was read has ended. No clock is used: the clocks of a
    paused VM may stop, and its process then never sees its lease expire.
    """
    lease = view.entry.lease
    if lease is None:
        return ()
    # A list without this VM is faulty or outdated, so it proves nothing.
    list_is_newer = view.process.vm in view.vms and view.vms_through >= lease.grant
    unproved = []
    for former in lease.former:
        if list_is_newer and former.vm not in view.vms:
            continue
        unproved.append(former)
    return tuple(unproved)


def decide_append(view: LeaseView, nonce: str, now: float) -> Any:
    """Return the record that the process should append now, or None."""
    lease = view.entry.lease
    if lease is None:
        return _decide_reset(view, nonce, now)
    if lease.incarnation == view.process.incarnation:
        return _decide_holder_append(view, lease, nonce, now)
    release = _decide_release(view, lease)
    if release is not None:
        return release
    if view.stopping:
        return None
    if _may_claim(view, lease, now):
        return LeaseClaim(
            authority=view.authority,
            holder=view.process.vm,
            incarnation=view.process.incarnation,
            control_address=view.process.control_address,
            nonce=nonce,
            based_on=lease.head,
            term=TERM_SECONDS,
        )
    # The holder writes the checkpoints; other processes only if it does not.
    return _decide_checkpoint(view, lease, 2 * CHECKPOINT_RECORDS)


def _decide_holder_append(view: LeaseView, lease: Lease, nonce: str, now: float) -> Any:
    if view.stopping:
        if view.busy:
            return None
        return _build_release(view, lease, lease.grant, lease.vm)
    if not _has_recent_append(view, now):
        return LeaseRenewal(view.authority, lease.grant, nonce, lease.head)
    return _decide_checkpoint(view, lease, CHECKPOINT_RECORDS)


def _decide_release(view: LeaseView, lease: Lease) -> LeaseRelease | None:
    process = view.process
    holds = (lease.vm, lease.control_address)
    if lease.grant != NO_OFFSET and holds == (process.vm, process.control_address):
        return _build_release(view, lease, lease.grant, lease.vm)
    for former in lease.former:
        if former.vm != process.vm:
            continue
        if former.control_address not in ("", process.control_address):
            continue
        # An order of this process under its former grant may still be in flight.
        if former.incarnation in ("", process.incarnation) and view.busy:
            continue
        return _build_release(view, lease, former.grant, former.vm)
    return None


def _build_release(view: LeaseView, lease: Lease, grant: int, vm: str) -> LeaseRelease:
    return LeaseRelease(view.authority, grant, vm, view.process.incarnation, lease.head)


def _may_claim(view: LeaseView, lease: Lease, now: float) -> bool:
    if view.process.vm not in view.vms or _has_recent_append(view, now):
        return False
    if lease.grant == NO_OFFSET:
        return True
    return _is_unresponsive(view, lease.term, now)


def _decide_reset(view: LeaseView, nonce: str, now: float) -> LeaseReset | None:
    if view.stopping or view.process.vm not in view.vms:
        return None
    if not _is_unresponsive(view, TERM_SECONDS, now) or _has_recent_append(view, now):
        return None
    if view.vms_read_at < view.observation.since:
        return None
    first_offset = max(view.start, view.entry.last_record + 1)
    vms = tuple(sorted(view.vms))
    return LeaseReset(view.authority, first_offset, view.through, vms, nonce)


def _is_unresponsive(view: LeaseView, term: float, now: float) -> bool:
    unchanged_seconds = view.observation.last_read_at - view.observation.since
    if now - view.observation.last_read_at > MAX_READ_GAP_SECONDS:
        return False
    return unchanged_seconds >= term + CLAIM_MARGIN_SECONDS


def _has_recent_append(view: LeaseView, now: float) -> bool:
    last = max(view.appends.values(), default=None)
    return last is not None and now - last < RENEWAL_INTERVAL_SECONDS


def _decide_checkpoint(
    view: LeaseView, lease: Lease, records: int
) -> LeaseCheckpoint | None:
    if lease.head == NO_OFFSET:
        return None
    if view.through - view.entry.last_checkpoint < records:
        return None
    return LeaseCheckpoint(view.authority, view.through, describe_lease(lease))
