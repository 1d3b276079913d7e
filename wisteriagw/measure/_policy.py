"""Policy that is measured."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.dispatch import DispatchLimits


class Policy(NamedTuple):
    """Which decisions are made by our modules and which by a baseline.

    Attributes
    ----------
    name : str
        Name on the command line.
    baseline : str
        ``round-robin`` or ``least-requests``; empty for our routing.
    limits : DispatchLimits
        Limits of our dispatcher.
    roles, spending, hand_over : bool
        Whether roles are changed, servers are ordered, and streams are handed over
        before an engine goes.
    peer_loads : bool
        Whether heartbeats carry the outstanding work by server.
    """

    name: str
    baseline: str = ""
    limits: DispatchLimits = DispatchLimits()
    roles: bool = True
    spending: bool = True
    hand_over: bool = True
    peer_loads: bool = True


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("wisteriagw"),
        Policy("wisteriagw-1", peer_loads=False),
        Policy("static-roles", roles=False),
        Policy("first-come", limits=DispatchLimits(fair=False, refuse_late=False)),
        Policy("round-robin", "round-robin", roles=False, hand_over=False),
        Policy("least-requests", "least-requests", roles=False, hand_over=False),
    )
}
