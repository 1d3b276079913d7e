"""Decision how many servers of each kind are held in each data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.spending._centre_order import CentreOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.spending._centre_stock import CentreStock

# Dependable servers that stay when a data centre can be filled with reclaimable ones:
# the platform takes all reclaimable servers of a data centre at once, and the others
# must carry its work until new ones are up.
KEPT_DEPENDABLE = 0


def plan_stock(
    stocks: Iterable[CentreStock],
    min_servers: int,
    max_servers: int,
    reclaimable_price: float,
) -> list[CentreOrder]:
    """Return the orders that lead to the cheapest full stock.

    Bursts of the traffic are shorter than the start of a server, so the stock is the
    most that the terms allow and does not follow the load. Reclaimable servers are
    preferred while they are cheaper.
    """
    orders = []
    for stock in stocks:
        if not 0 < reclaimable_price < 1:
            if stock.dependable < max_servers:
                orders.append(CentreOrder(stock.data_centre, False, max_servers))
            continue
        kept = min(max(KEPT_DEPENDABLE, 0), max_servers)
        wanted = max_servers - kept
        if stock.dependable > kept:
            # Both kinds together are bounded, so dependable servers leave first.
            left = max(kept, min_servers - wanted)
            orders.append(CentreOrder(stock.data_centre, False, left))
        room = max_servers - stock.dependable
        if stock.reclaimable < min(wanted, room):
            orders.append(CentreOrder(stock.data_centre, True, min(wanted, room)))
    return orders
