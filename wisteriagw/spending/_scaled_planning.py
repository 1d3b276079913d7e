"""Decision about the orders that lead to the target of a data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.spending._capacity_planning import FALLBACK_DELAY_SECONDS
from wisteriagw.spending._centre_order import CentreOrder

if TYPE_CHECKING:
    from wisteriagw.spending._data_centre_capacity import DataCentreCapacity


def plan_centre(
    capacity: DataCentreCapacity,
    target: int,
    max_servers: int,
    reclaimable_price: float,
    may_release: bool,
) -> list[CentreOrder]:
    """Return the orders of a data centre whose target follows the demand.

    Reclaimable servers are preferred while they are cheaper and available. Dependable
    ones are released once reclaimable ones run in their place, or must make room for
    them below the maximum of both kinds.
    """
    name = capacity.data_centre
    count = capacity.dependable + capacity.reclaimable
    if not 0 < reclaimable_price < 1:
        if capacity.dependable < target:
            return [CentreOrder(name, False, target)]
        if capacity.dependable > target and may_release:
            return [CentreOrder(name, False, keep_half(capacity.dependable, target))]
        return []
    orders = []
    if capacity.reclaimable < target:
        orders.append(CentreOrder(name, True, target))
    if capacity.dependable:
        in_place = capacity.reclaimable >= target
        in_the_way = target + capacity.dependable > max_servers
        if in_place or (capacity.accepted and in_the_way):
            orders.append(CentreOrder(name, False, 0))
    elif capacity.reclaimable > target and may_release:
        kept = keep_half(capacity.reclaimable, target)
        orders.append(CentreOrder(name, True, kept))
    if count < target and capacity.refused_seconds >= FALLBACK_DELAY_SECONDS:
        orders.append(CentreOrder(name, False, target - capacity.reclaimable))
    return orders


def keep_half(count: int, target: int) -> int:
    """Return the servers that are left after a release of half of the surplus.

    Load: a long calm after a peak. One server at a time takes minutes, and all at once
    leaves nothing if the demand returns.
    """
    return count - (count - target + 1) // 2
