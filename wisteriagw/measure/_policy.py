"""Policy under test."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.dispatch import DispatchLimits


class Policy(NamedTuple):
    """Which decisions the gateway's modules make and which a baseline makes.

    Attributes
    ----------
    name : str
        Name on the command line.
    baseline : str
        ``round-robin`` or ``least-requests``; empty for the real dispatcher.
    limits : DispatchLimits
        Limits of the real dispatcher.
    roles, spending, migrate_streams : bool
        Whether roles are changed, servers are ordered, and streams are migrated
        before an engine stops.
    peer_loads : bool
        Whether heartbeats carry the outstanding work of each server.
    """

    name: str
    baseline: str = ""
    limits: DispatchLimits = DispatchLimits()
    roles: bool = True
    spending: bool = True
    migrate_streams: bool = True
    peer_loads: bool = True


POLICIES = {
    policy.name: policy
    for policy in (
        Policy("wisteriagw"),
        Policy("wisteriagw-1", peer_loads=False),
        Policy("static-roles", roles=False),
        Policy("first-come", limits=DispatchLimits(fair=False, refuse_late=False)),
        Policy("round-robin", "round-robin", roles=False, migrate_streams=False),
        Policy("least-requests", "least-requests", roles=False, migrate_streams=False),
    )
}
