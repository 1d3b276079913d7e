"""Decision how many servers of each kind are held in each data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.spending._centre_order import CentreOrder

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.spending._centre_stock import CentreStock

# The platform usually has reclaimable servers again within some seconds after it took
# them away; dependable ones in their place cost several times as much.
FALLBACK_SECONDS = 12.0


def plan_stock(
    stocks: Iterable[CentreStock],
    max_servers: int,
    reclaimable_price: float,
) -> list[CentreOrder]:
    """Return the orders that lead to the cheapest full stock.

    Bursts of the traffic are shorter than the start of a server, so the stock is the
    most that the terms allow and does not follow the load. Reclaimable servers are
    preferred while they are cheaper and to be had.
    """
    orders: list[CentreOrder] = []
    for stock in stocks:
        if not 0 < reclaimable_price < 1:
            if stock.dependable < max_servers:
                orders.append(CentreOrder(stock.data_centre, False, max_servers))
            continue
        orders.extend(plan_reclaimable(stock, max_servers))
    return orders


def plan_reclaimable(stock: CentreStock, max_servers: int) -> list[CentreOrder]:
    """Return the orders that replace dependable servers where others are to be had."""
    name = stock.data_centre
    missing = stock.reclaimable < max_servers - stock.dependable
    orders = []
    # An order beyond the room is asked for as well where dependable servers fill it:
    # whether it is accepted tells if they may be given back.
    if missing or (stock.dependable and not stock.accepted):
        orders.append(CentreOrder(name, True, max_servers))
    if stock.dependable and stock.accepted:
        # Both kinds together are bounded, so dependable servers leave first.
        orders.append(CentreOrder(name, False, 0))
    if missing and stock.refused_seconds >= FALLBACK_SECONDS:
        orders.append(CentreOrder(name, False, max_servers - stock.reclaimable))
    return orders
