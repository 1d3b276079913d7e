"""Share of this VM in the rate that a backend server takes from all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.ratelimits._demand import Demand

# Part of the limit that is shared equally, so that a VM that had no requests can begin.
EQUAL_FRACTION = 0.1
# A server that takes none is still asked now and then, or it could not say that its
# limit has ended.
MIN_RATE = 0.5


class VmCounts(NamedTuple):
    """VMs among which limits are shared.

    Attributes
    ----------
    alive : int
        VMs that are alive, this one included.
    registered : int
        VMs that have started and not ended, as far as known.
    """

    alive: int
    registered: int


def find_share(limit: float, demand: Demand | None, vms: VmCounts) -> float:
    """Return the requests per second that this VM may send to a server.

    Load: a server in need takes a few requests per second from all VMs, and callers
    come to some VMs more than to others. The shares follow the open requests for the
    service, so they move with the callers, and their sum stays within the limit. A VM
    that does not see the others takes no more than its part of those registered.

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
    count = max(vms.alive, vms.registered, 1)
    part = 1.0 / count
    if demand is not None and demand.total > 0:
        part = min(1.0, demand.own / demand.total) * vms.alive / count
    return limit * (EQUAL_FRACTION / count + (1.0 - EQUAL_FRACTION) * part)
