"""Summaries of data centres and the evidence that they provide."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.membership._evidence import (
    PERMIT_SECONDS,
    SUMMARY_SECONDS,
    Evidence,
)
from wisteriagw.membership._received_digest import ReceivedDigest
from wisteriagw.membership._received_summary import ReceivedSummary
from wisteriagw.membership._remote_summary import RemoteSummary
from wisteriagw.membership._status import get_status, is_leaving
from wisteriagw.membership._topology import uses_relays
from wisteriagw.membership._updates import bound_sent_at
from wisteriagw.membership._vm_status import VmStatus
from wisteriagw.messages import DigestPush

if TYPE_CHECKING:
    from wisteriagw.membership._membership_state import MembershipState


def summarise_data_centre(
    state: MembershipState, revision: int, established: bool, now: float
) -> DigestPush:
    """Return the digest of the local data centre."""
    absent, uncounted = [], []
    revisions: list[int] = []
    highest, oldest = revision, now
    for member in state.members.values():
        if member.data_centre != state.data_centre:
            continue
        if is_leaving(member) or get_status(state, member, now) is not VmStatus.ALIVE:
            absent.append(member.vm)
        if member.vm == state.vm:
            if established:
                revisions.append(revision)
            else:
                uncounted.append(member.vm)
            continue
        fresh = now - member.proved_at <= PERMIT_SECONDS
        if fresh:
            highest = max(highest, member.config_revision)
        same_list = member.vm_list_digest == state.vm_list_digest
        if not (fresh and same_list and member.established):
            uncounted.append(member.vm)
            continue
        revisions.append(member.config_revision)
        oldest = min(oldest, member.proved_at)
    return DigestPush(
        data_centre=state.data_centre,
        sent_at_ms=math.floor(now * 1000),
        vm_list_digest=state.vm_list_digest,
        count=len(revisions),
        lowest_revision=min(revisions, default=-1),
        highest_revision=highest,
        age_ms=to_age_ms(now - oldest),
        absent=tuple(absent),
        uncounted=tuple(uncounted),
    )


def apply_digest(
    state: MembershipState, sender: str, digest: DigestPush, now: float
) -> MembershipState:
    """Return the view after a digest from the relay of another data centre."""
    relay = state.members.get(sender)
    if relay is None or relay.data_centre != digest.data_centre:
        return state
    proved_at = (
        bound_sent_at(relay.clock_offset, relay.offset_at, digest.sent_at_ms, now)
        - digest.age_ms / 1000
    )
    known = state.digests.get(digest.data_centre)
    if known is not None and known.proved_at > proved_at:
        return state
    received = ReceivedDigest(digest, proved_at)
    return state._replace(digests={**state.digests, digest.data_centre: received})


def sum_digests(state: MembershipState, now: float) -> RemoteSummary | None:
    """Return the summary for the local data centre, or None without a fresh digest."""
    names = state.data_centres
    mask, count, oldest = 0, 0, now
    highest = -1
    lowest: list[int] = []
    absent: list[str] = []
    uncounted: list[str] = []
    for name, (digest, proved_at) in state.digests.items():
        if name not in names or now - proved_at > SUMMARY_SECONDS:
            continue
        if digest.vm_list_digest != state.vm_list_digest:
            continue
        mask |= 1 << names.index(name)
        count += digest.count
        oldest = min(oldest, proved_at)
        highest = max(highest, digest.highest_revision)
        if digest.count:
            lowest.append(digest.lowest_revision)
        absent.extend(digest.absent)
        uncounted.extend(digest.uncounted)
    if not mask:
        return None
    return RemoteSummary(
        data_centres=mask,
        count=count,
        lowest_revision=min(lowest, default=-1),
        highest_revision=highest,
        age_ms=to_age_ms(now - oldest),
        absent=tuple(absent),
        uncounted=tuple(uncounted),
    )


def list_summaries(state: MembershipState, now: float) -> list[ReceivedSummary]:
    """Return fresh summaries that do not count a data centre twice."""
    received = [
        summary
        for relay, summary in state.summaries.items()
        if _has_own_list(state, relay) and now - summary.proved_at <= SUMMARY_SECONDS
    ]
    own = sum_digests(state, now)
    if own is not None:
        received.append(ReceivedSummary(own, now - own.age_ms / 1000))
    received.sort(key=lambda entry: entry.summary.count, reverse=True)
    chosen: list[ReceivedSummary] = []
    seen = 0
    for entry in received:
        if entry.summary.data_centres & seen:
            continue
        seen |= entry.summary.data_centres
        chosen.append(entry)
    return chosen


def list_evidence(state: MembershipState, now: float) -> tuple[Evidence, ...]:
    """Return the evidence about other VMs, each of them counted once."""
    relayed = uses_relays(state)
    evidence = []
    for member in state.members.values():
        if member.vm == state.vm or not member.incarnation:
            continue
        direct = not relayed or member.data_centre == state.data_centre
        same_list = member.vm_list_digest == state.vm_list_digest
        votes = int(direct and same_list and member.established)
        evidence.append(
            Evidence(
                votes, member.proved_at, member.config_revision, member.log_read_at
            )
        )
    if not relayed:
        return tuple(evidence)
    for summary, proved_at in list_summaries(state, now):
        evidence.append(
            Evidence(
                summary.count,
                proved_at,
                summary.highest_revision,
                valid_seconds=SUMMARY_SECONDS,
            )
        )
    return tuple(evidence)


def to_age_ms(seconds: float) -> int:
    """Return an age in whole milliseconds, rounded up so that it is never too low."""
    return int(max(0.0, seconds) * 1000) + 1


def _has_own_list(state: MembershipState, vm: str) -> bool:
    member = state.members.get(vm)
    return member is not None and member.vm_list_digest == state.vm_list_digest
