"""Cheapest numbers of servers that meet the latency targets."""

from __future__ import annotations

import math

from wisteriagw.spending._fleet_target import FleetTarget

# Load of a server that meets the latency targets: in normal operation, and after the
# loss of a data centre's reclaimable servers until their replacements are up.
TARGET_LOAD = 0.8
MAX_LOAD_AFTER_LOSS = 0.95
MIN_DEPENDABLE = 2


def choose_target(
    load: float,
    nonrepeatable_load: float,
    reclaimable_centres: int,
    prices: tuple[float, float],
) -> tuple[FleetTarget, tuple[FleetTarget, ...]]:
    """Return the cheapest target, and the alternatives that were rejected.

    The reclaimable servers are spread evenly, so losing those of one data centre takes
    ``ceil(reclaimable / reclaimable_centres)``. The remaining servers must carry the
    whole load, at a higher load than usual. Work that must not be repeated needs
    dependable servers, and at least two of them, so that one is left during a drain.

    Parameters
    ----------
    load, nonrepeatable_load : float
        Load in servers, and the part of it that must not be repeated.
    reclaimable_centres : int
        Number of data centres with reclaimable servers.
    prices : tuple of float
        Price of a reclaimable and of a dependable server.
    """
    total = max(1, math.ceil(load / TARGET_LOAD - 1e-9))
    min_surviving = max(1, math.ceil(load / MAX_LOAD_AFTER_LOSS - 1e-9))
    min_dependable = math.ceil(nonrepeatable_load / TARGET_LOAD - 1e-9)
    if nonrepeatable_load > 0:
        min_dependable = max(min_dependable, MIN_DEPENDABLE)
    reclaimable_price, dependable_price = prices
    targets = []
    for dependable in range(min_dependable, max(total, min_dependable) + 1):
        reclaimable = count_reclaimable(
            max(0, min_surviving - dependable), reclaimable_centres
        )
        if reclaimable is None:
            continue
        reclaimable = max(reclaimable, total - dependable)
        if reclaimable and not reclaimable_centres:
            continue
        price = reclaimable * reclaimable_price + dependable * dependable_price
        targets.append(FleetTarget(reclaimable, dependable, price))
    best = min(targets, key=lambda target: (target.price, target.reclaimable))
    rejected = tuple(
        target._replace(reason="dearer") for target in targets if target != best
    )
    return best, rejected


def count_reclaimable(rest: int, data_centres: int) -> int | None:
    """Return the servers of which ``rest`` survive the loss of one data centre."""
    if rest == 0:
        return 0
    if data_centres < 2:
        return None
    reclaimable = rest
    while reclaimable - math.ceil(reclaimable / data_centres) < rest:
        reclaimable += 1
    return reclaimable
