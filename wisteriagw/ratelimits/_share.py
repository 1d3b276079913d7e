"""Share of this VM in the rate that a backend server takes from all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Collection

    from wisteriagw.ratelimits._demand import Demand

# Part of the limit that is shared out; views of the demand differ between VMs.
USED_FRACTION = 0.9
# Part of that which is shared equally, so that a VM that had no requests can begin.
EQUAL_FRACTION = 0.25
# Tokens that a VM may keep beyond one, as seconds of its share.
BURST_SECONDS = 0.5
# VMs that share a limit, as seconds of it: each may send one request at any moment.
SHARING_SECONDS = 2.0
# A server that takes none is still asked now and then, or it could not say that its
# limit has ended.
MIN_RATE = 0.5


class VmCounts(NamedTuple):
    """VMs among which limits are shared.

    Attributes
    ----------
    own : str
        This VM.
    alive : collection of str
        VMs that are alive, this one included.
    registered : int
        VMs that have started and not ended, as far as known.
    """

    own: str
    alive: Collection[str]
    registered: int


def find_share(
    server: str, limit: float, demand: Demand | None, vms: VmCounts
) -> tuple[float, float]:
    """Return the rate and the burst that this VM may send to a server.

    Load: a server in need takes a few requests per second from all VMs, and callers
    come to some VMs more than to others. The shares follow the open requests for the
    service, so they move with the callers, and their sum stays within the limit. A VM
    that does not see the others takes no more than its part of those registered. Where
    VMs are many, only some of them send to the server, as each may send one request at
    any moment.

    Parameters
    ----------
    limit : float
        Requests per second from all VMs together.
    demand : Demand or None
        Demand for the service of the server; None if it is not known yet.
    vms : VmCounts
        VMs that share the limit.
    """
    limit = max(limit, MIN_RATE)
    used = USED_FRACTION * limit
    count = max(len(vms.alive), vms.registered, 1)
    sharing = max(1, int(SHARING_SECONDS * limit))
    if count > sharing:
        senders = rank_names(server, vms.alive)[:sharing]
        rate = used / sharing if vms.own in senders else 0.0
        return rate, 1.0
    part = 1.0 / count
    if demand is not None and demand.total > 0:
        part = min(1.0, demand.own / demand.total) * len(vms.alive) / count
    rate = used * (EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * part)
    return rate, 1.0 + BURST_SECONDS * rate
