"""Decision about the number of servers of each kind in each data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.spending._centre_order import CentreOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.spending._data_centre_capacity import DataCentreCapacity

# Reclaimable servers are usually available again some seconds after the platform took
# them away; dependable ones in their place cost several times as much.
FALLBACK_DELAY_SECONDS = 12.0


def plan_capacity(
    capacities: Iterable[DataCentreCapacity],
    max_servers: int,
    reclaimable_price: float,
) -> list[CentreOrder]:
    """Return the orders that lead to the full capacity at the lowest cost.

    Traffic bursts are shorter than the start-up time of a server, so the capacity is
    the maximum that the terms allow and does not follow the load. Reclaimable servers
    are preferred while they are cheaper and available.
    """
    orders: list[CentreOrder] = []
    for capacity in capacities:
        if not 0 < reclaimable_price < 1:
            if capacity.dependable < max_servers:
                orders.append(CentreOrder(capacity.data_centre, False, max_servers))
            continue
        orders.extend(plan_reclaimable(capacity, max_servers))
    return orders


def plan_reclaimable(
    capacity: DataCentreCapacity, max_servers: int
) -> list[CentreOrder]:
    """Return the orders that prefer reclaimable servers to dependable ones."""
    name = capacity.data_centre
    missing = capacity.reclaimable < max_servers - capacity.dependable
    orders = []
    # The order is also sent while dependable servers fill the capacity: its acceptance
    # shows whether they can be released.
    if missing or (capacity.dependable and not capacity.accepted):
        orders.append(CentreOrder(name, True, max_servers))
    if capacity.dependable and capacity.accepted:
        # The limit covers both kinds, so dependable servers are released first.
        orders.append(CentreOrder(name, False, 0))
    if missing and capacity.refused_seconds >= FALLBACK_DELAY_SECONDS:
        orders.append(CentreOrder(name, False, max_servers - capacity.reclaimable))
    return orders
