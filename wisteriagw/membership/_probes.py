"""Indirect probes of suspected VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._member import NEVER
from wisteriagw.membership._peers import list_direct_peers
from wisteriagw.membership._probe import Probe
from wisteriagw.membership._status import FAIL_SECONDS, SUSPECT_SECONDS
from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from wisteriagw.membership._membership_state import MembershipState

PEERS_PER_PROBE = 2
# A failed VM is still probed at this interval, so that one that is alive behind a slow
# link is detected.
FAILED_PROBE_INTERVAL_SECONDS = 5


def choose_probes(state: MembershipState, now: float) -> list[Probe]:
    """Return which peers to ask about which suspected VMs, two for each."""
    probes: list[Probe] = []
    peers = list_direct_peers(state)
    responsive = [vm for vm in peers if not _is_suspected(state, vm, now)]
    for vm in peers:
        if not _is_suspected(state, vm, now):
            continue
        unseen_seconds = now - max(
            state.members[vm].last_seen_at, state.observing_since
        )
        if unseen_seconds > FAIL_SECONDS and int(now) % FAILED_PROBE_INTERVAL_SECONDS:
            seen_by_peer = now - state.members[vm].seen_by_peer_at < FAIL_SECONDS
            if not seen_by_peer:
                continue
        key = f"probe {vm} {int(now)}"
        for peer in rank_names(key, responsive)[:PEERS_PER_PROBE]:
            probes.append(Probe(peer, vm))
    return probes


def decide_probe_reply(
    state: MembershipState, target: str, now: float
) -> tuple[int, float] | None:
    """Return the incarnation and age to answer a probe with, or None for no reply.

    Only heartbeats that this VM received itself count. If replies were based on
    replies of others, VMs could keep a failed VM alive by confirming each other.
    """
    member = state.members.get(target)
    if member is None or member.last_seen_at == NEVER:
        return None
    age = now - member.last_seen_at
    if age >= SUSPECT_SECONDS:
        return None
    return member.incarnation, age


def _is_suspected(state: MembershipState, vm: str, now: float) -> bool:
    last_seen_at = max(state.members[vm].last_seen_at, state.observing_since)
    return now - last_seen_at >= SUSPECT_SECONDS
