"""Construction of heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.membership._member import NEVER
from wisteriagw.membership._summaries import sum_digests, to_age_ms
from wisteriagw.membership._topology import uses_relays
from wisteriagw.messages import Heartbeat

if TYPE_CHECKING:
    from wisteriagw.membership._heartbeat_content import HeartbeatContent
    from wisteriagw.membership._membership_state import MembershipState


def build_heartbeat(
    state: MembershipState, peer: str, content: HeartbeatContent, now: float
) -> Heartbeat:
    """Return the heartbeat to a peer."""
    member = state.members[peer]
    age_ms = -1
    if content.log_read_at != NEVER:
        age_ms = to_age_ms(now - content.log_read_at)
    local = member.data_centre == state.data_centre
    remote = sum_digests(state, now) if local and uses_relays(state) else None
    return Heartbeat(
        vm=state.vm,
        data_centre=state.data_centre,
        incarnation=state.incarnation,
        seq=content.seq,
        leaving=content.leaving,
        established=content.established,
        config_revision=content.revision,
        log_read_age_ms=age_ms,
        vm_list_digest=state.vm_list_digest,
        sent_at_ms=math.floor(now * 1000),
        echo_incarnation=member.incarnation,
        echo_sent_at_ms=member.echo_sent_at_ms,
        echo_received_at_ms=member.echo_received_at_ms,
        departures=content.departures,
        remote=() if remote is None else tuple(remote),
    )
