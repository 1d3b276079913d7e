"""Changes of the membership view."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.membership._member import NEVER, Member
from wisteriagw.membership._membership_state import MembershipState
from wisteriagw.membership._received_summary import ReceivedSummary
from wisteriagw.membership._remote_summary import RemoteSummary
from wisteriagw.membership._status import HEARTBEAT_SECONDS
from wisteriagw.membership._vm_list_digest import compute_vm_list_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.clients import VmEntry
    from wisteriagw.messages import Heartbeat, ProbeReply

# The clocks of two machines differ in rate by well under 100 parts per million; the
# bound on a measured offset allows for ten times as much.
CLOCK_DRIFT = 1e-3
PAUSE_THRESHOLD_SECONDS = 2 * HEARTBEAT_SECONDS


def build_membership(
    vm: str,
    data_centre: str,
    host: str,
    incarnation: int,
    now: float,
    *,
    alone: bool = False,
) -> MembershipState:
    """Return the view of a VM that knows no other VM.

    Unless it runs alone, it has no vote before it has read a VM list.
    """
    return MembershipState(
        vm=vm,
        data_centre=data_centre,
        incarnation=incarnation,
        started_at=now,
        vm_list_digest=0,
        listed=alone,
        members={vm: Member(vm, data_centre, host)},
        data_centres=(data_centre,),
        observing_since=now,
        last_tick_at=now,
        digests={},
        summaries={},
    )


def apply_vm_list(
    state: MembershipState, entries: Iterable[VmEntry]
) -> MembershipState:
    """Return the view with the VMs of a list; the state of known VMs is kept.

    The local VM stays a member while the list does not show it yet.
    """
    listed = [entry for entry in entries if entry.role == "entry"]
    members: dict[str, Member] = {}
    for entry in listed:
        known = state.members.get(entry.name)
        if known is None:
            known = Member(entry.name, entry.data_centre, entry.host)
        members[entry.name] = known._replace(
            data_centre=entry.data_centre,
            host=entry.host,
            listed_leaving=entry.leaving,
        )
    listed_self = state.vm in members
    members.setdefault(state.vm, state.members[state.vm])
    return state._replace(
        members=members,
        vm_list_digest=compute_vm_list_digest(listed),
        listed=listed_self,
        data_centres=tuple(sorted({member.data_centre for member in members.values()})),
    )


def begin_tick(state: MembershipState, now: float) -> MembershipState:
    """Return the view at a new time.

    After a pause of the local process, missing heartbeats of the others prove nothing:
    they may be waiting in the socket buffers.
    """
    if now - state.last_tick_at > PAUSE_THRESHOLD_SECONDS:
        return state._replace(last_tick_at=now, observing_since=now)
    return state._replace(last_tick_at=now)


def apply_heartbeat(
    state: MembershipState, heartbeat: Heartbeat, now: float
) -> MembershipState:
    """Return the view after a heartbeat; old ones and unknown VMs change nothing.

    A sender that echoes a higher incarnation ignores this process, whose wall clock was
    set back before it started; the local incarnation is then raised above it.
    """
    known = state.members.get(heartbeat.vm)
    if known is None or heartbeat.vm == state.vm:
        return state
    if heartbeat.echo_incarnation > state.incarnation:
        state = state._replace(incarnation=heartbeat.echo_incarnation + 1)
    if (heartbeat.incarnation, heartbeat.seq) <= (known.incarnation, known.seq):
        return state
    offset, offset_at = _measure_offset(state, known, heartbeat)
    proved_at = bound_sent_at(offset, offset_at, heartbeat.sent_at_ms, now)
    log_read_at = NEVER
    if heartbeat.log_read_age_ms >= 0:
        log_read_at = proved_at - heartbeat.log_read_age_ms / 1000
    member = known._replace(
        leaving=heartbeat.leaving
        or (known.leaving and known.incarnation == heartbeat.incarnation),
        established=heartbeat.established,
        incarnation=heartbeat.incarnation,
        seq=heartbeat.seq,
        last_seen_at=now,
        proved_at=proved_at,
        clock_offset=offset,
        offset_at=offset_at,
        echo_sent_at_ms=heartbeat.sent_at_ms,
        echo_received_at_ms=math.ceil(now * 1000),
        config_revision=heartbeat.config_revision,
        vm_list_digest=heartbeat.vm_list_digest,
        log_read_at=log_read_at,
    )
    state = state._replace(members={**state.members, member.vm: member})
    summary = _decode_summary(heartbeat.remote)
    if summary is None or known.data_centre != state.data_centre:
        return state
    received = ReceivedSummary(summary, proved_at - summary.age_ms / 1000)
    return state._replace(summaries={**state.summaries, member.vm: received})


def bound_sent_at(
    offset: float, offset_at: float, sent_at_ms: int, now: float
) -> float:
    """Return a lower bound, on the local clock, of the time a message was sent.

    A message may wait in buffers while its receiver is paused, so its arrival time does
    not bound its age.
    """
    drift = CLOCK_DRIFT * max(0.0, now - offset_at)
    return min(now, sent_at_ms / 1000 + offset - drift)


def apply_probe_reply(
    state: MembershipState, reply: ProbeReply, now: float
) -> MembershipState:
    """Return the view after a peer reported when it last saw a suspected VM."""
    known = state.members.get(reply.target)
    if known is None or reply.incarnation < known.incarnation:
        return state
    seen_by_peer_at = max(known.seen_by_peer_at, now - reply.last_seen_age_ms / 1000)
    member = known._replace(seen_by_peer_at=seen_by_peer_at)
    return state._replace(members={**state.members, member.vm: member})


def _decode_summary(values: tuple) -> RemoteSummary | None:
    if len(values) != len(RemoteSummary._fields):
        return None
    summary = RemoteSummary(*values)
    if not all(type(value) is int for value in summary[:5]):
        return None
    return summary._replace(
        absent=tuple(summary.absent), uncounted=tuple(summary.uncounted)
    )


def _measure_offset(
    state: MembershipState, known: Member, heartbeat: Heartbeat
) -> tuple[float, float]:
    """Return a lower bound of local minus sender's clock, and when it was measured.

    The sender received the echoed heartbeat after it was sent, so the difference of
    the two readings is such a bound; the highest one is the tightest. An echo for an
    earlier process of this VM may date from before the clock was reset.
    """
    offset, offset_at = known.clock_offset, known.offset_at
    if heartbeat.incarnation != known.incarnation:
        offset, offset_at = NEVER, 0.0
    if heartbeat.echo_incarnation != state.incarnation:
        return offset, offset_at
    sent_at = heartbeat.echo_sent_at_ms / 1000
    measured = sent_at - heartbeat.echo_received_at_ms / 1000
    elapsed = max(0.0, sent_at - offset_at)
    if measured >= offset - CLOCK_DRIFT * elapsed:
        return measured, sent_at
    return offset, offset_at
