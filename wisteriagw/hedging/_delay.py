"""Times of a hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.hedging._quantiles import Quantiles

# Part of the limit that one hedge may hold back: a second attempt that takes twice as
# long as all but a few responses does not improve the tail.
RACE_FACTOR = 2.0


def find_race_seconds(quantiles: Quantiles, seconds_left: float) -> float:
    """Return the seconds for which both attempts may run.

    Parameters
    ----------
    seconds_left : float
        Seconds until the deadline of the caller.
    """
    return min(RACE_FACTOR * quantiles.late, seconds_left)
