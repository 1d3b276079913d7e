"""Times of a hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.hedging._quantiles import Quantiles

# Part of the limit that one hedge may hold back: a second attempt that takes twice as
# long as all but a few responses does not improve the tail.
RACE_FACTOR = 2.0
# Speeds of servers are estimated between these bounds (section 2 of the specification).
MIN_SPEED = 0.2
MAX_SPEED = 5.0


def find_delay(quantiles: Quantiles, speed: float) -> float:
    """Return the seconds after which a first attempt is slower than expected.

    Load: servers of one service that differ in speed. A slow server gets more time,
    because its usual responses would trigger hedges otherwise.

    Parameters
    ----------
    speed : float
        Speed of the server of the first attempt, 1 for the mean of the service.
    """
    return quantiles.late / min(max(speed, MIN_SPEED), MAX_SPEED)


def find_race_seconds(quantiles: Quantiles, seconds_left: float) -> float:
    """Return the seconds for which both attempts may run.

    Parameters
    ----------
    seconds_left : float
        Seconds until the deadline of the caller.
    """
    return min(RACE_FACTOR * quantiles.late, seconds_left)
