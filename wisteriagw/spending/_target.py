"""Cheapest numbers of servers that keep the service."""

from __future__ import annotations

import math

from wisteriagw.spending._fleet_target import FleetTarget

# Load of a server that keeps the latency targets, usually and after the loss of a data
# centre's cheap servers until others are up.
USUAL_LOAD = 0.8
LOAD_AFTER_LOSS = 0.95
MIN_DEPENDABLE = 2


def choose_target(
    load: float,
    load_once: float,
    cheap_centres: int,
    prices: tuple[float, float],
) -> tuple[FleetTarget, tuple[FleetTarget, ...]]:
    """Return the cheapest target, and the alternatives that lost.

    The cheap servers are spread evenly, so the loss of one data centre's takes
    ``ceil(cheap / cheap_centres)``. What is left must carry the whole load, less
    comfortably than usual. Work that must not repeat counts on dependable servers only,
    and on two at least, so that a drain of one leaves the other.

    Parameters
    ----------
    load, load_once : float
        Load in servers, and the part of it that must not repeat.
    cheap_centres : int
        Data centres in which cheap servers are to be had.
    prices : tuple of float
        Price of a cheap and of a dependable server.
    """
    total = max(1, math.ceil(load / USUAL_LOAD - 1e-9))
    left = max(1, math.ceil(load / LOAD_AFTER_LOSS - 1e-9))
    fewest = math.ceil(load_once / USUAL_LOAD - 1e-9)
    if load_once > 0:
        fewest = max(fewest, MIN_DEPENDABLE)
    cheap_price, dependable_price = prices
    targets = []
    for dependable in range(fewest, max(total, fewest) + 1):
        cheap = count_cheap(max(0, left - dependable), cheap_centres)
        if cheap is None:
            continue
        cheap = max(cheap, total - dependable)
        if cheap and not cheap_centres:
            continue
        price = cheap * cheap_price + dependable * dependable_price
        targets.append(FleetTarget(cheap, dependable, price))
    best = min(targets, key=lambda target: (target.price, target.cheap))
    lost = tuple(
        target._replace(reason="dearer") for target in targets if target != best
    )
    return best, lost


def count_cheap(rest: int, centres: int) -> int | None:
    """Return the cheap servers of which ``rest`` survive the loss of one place."""
    if rest == 0:
        return 0
    if centres < 2:
        return None
    cheap = rest
    while cheap - math.ceil(cheap / centres) < rest:
        cheap += 1
    return cheap
