"""Changes of the membership view."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.membership._heard_summary import HeardSummary
from wisteriagw.membership._member import NEVER, Member
from wisteriagw.membership._membership_state import MembershipState
from wisteriagw.membership._remote_summary import RemoteSummary
from wisteriagw.membership._status import HEARTBEAT_SECONDS
from wisteriagw.membership._vm_list_digest import compute_vm_list_digest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.clients import VmEntry
    from wisteriagw.messages import Heartbeat, ProbeReply

# Clocks of machines differ by well under 100 parts in a million; ten times as much is
# allowed for before a measured offset is trusted.
CLOCK_DRIFT = 1e-3
PAUSE_SECONDS = 2 * HEARTBEAT_SECONDS


def build_membership(
    vm: str,
    data_centre: str,
    host: str,
    incarnation: int,
    now: float,
    *,
    alone: bool = False,
) -> MembershipState:
    """Return the view of a VM that knows of no other.

    Unless it is meant to be alone, it has no vote before it has seen a VM list.
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
        watching_since=now,
        last_tick_at=now,
        digests={},
        summaries={},
    )


def apply_vm_list(
    state: MembershipState, entries: Iterable[VmEntry]
) -> MembershipState:
    """Return the view with the VMs of a list; what was heard of them is kept.

    The own VM stays a member while the list does not show it yet.
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

    After a pause of the own process the silence of the others proves nothing: their
    heartbeats wait in the socket buffers.
    """
    if now - state.last_tick_at > PAUSE_SECONDS:
        return state._replace(last_tick_at=now, watching_since=now)
    return state._replace(last_tick_at=now)


def apply_heartbeat(
    state: MembershipState, heartbeat: Heartbeat, now: float
) -> MembershipState:
    """Return the view after a heartbeat; old news and unknown VMs change nothing.

    A sender that still echoes a higher incarnation ignores this process, whose clock
    was set back; the own incarnation then rises above it.
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
        heard_at=now,
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
    summary = _read_summary(heartbeat.remote)
    if summary is None or known.data_centre != state.data_centre:
        return state
    heard = HeardSummary(summary, proved_at - summary.age_ms / 1000)
    return state._replace(summaries={**state.summaries, member.vm: heard})


def bound_sent_at(
    offset: float, offset_at: float, sent_at_ms: int, now: float
) -> float:
    """Return a time on the own clock before which a message was not sent.

    A message may wait in buffers while its receiver is paused, so its arrival says
    nothing of its age.
    """
    drift = CLOCK_DRIFT * max(0.0, now - offset_at)
    return min(now, sent_at_ms / 1000 + offset - drift)


def apply_probe_reply(
    state: MembershipState, reply: ProbeReply, now: float
) -> MembershipState:
    """Return the view after a peer said when it heard from a suspected VM."""
    known = state.members.get(reply.target)
    if known is None or reply.incarnation < known.incarnation:
        return state
    vouched_at = max(known.vouched_at, now - reply.last_seen_age_ms / 1000)
    member = known._replace(vouched_at=vouched_at)
    return state._replace(members={**state.members, member.vm: member})


def _read_summary(values: tuple) -> RemoteSummary | None:
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
    """Return a lower bound of own clock minus sender's clock, and its time.

    The sender received the echoed heartbeat after it was sent, so the difference of
    the two readings is such a bound; the highest one is the tightest. An echo of an
    earlier process of this VM may stem from before a restart of the clock.
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
