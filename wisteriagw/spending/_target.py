"""Cheapest numbers of servers that keep the service."""

from __future__ import annotations

import math

from wisteriagw.spending._fleet_target import FleetTarget


def choose_target(
    needed: float,
    needed_once: float,
    cheap_centres: int,
    prices: tuple[float, float],
) -> tuple[FleetTarget, tuple[FleetTarget, ...]]:
    """Return the cheapest target, and the alternatives that lost.

    The cheap servers are spread evenly, so the loss of one data centre's takes
    ``ceil(cheap / cheap_centres)``. What is left must carry the whole need. Work that
    must not repeat counts on dependable servers only.

    Parameters
    ----------
    needed, needed_once : float
        Load in servers, and the part of it that must not repeat.
    cheap_centres : int
        Data centres in which cheap servers are to be had.
    prices : tuple of float
        Price of a cheap and of a dependable server.
    """
    total = max(1, math.ceil(needed - 1e-9))
    fewest = math.ceil(needed_once - 1e-9)
    cheap_price, dependable_price = prices
    targets = []
    for dependable in range(fewest, max(total, fewest) + 1):
        rest = max(0, total - dependable)
        cheap = count_cheap(rest, cheap_centres)
        if cheap is None:
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
