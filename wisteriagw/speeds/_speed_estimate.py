"""Decayed samples of the speed of one backend server."""

from __future__ import annotations

import math
from typing import NamedTuple

# A slow period must show within about 2 s of requests, and a server that gets none
# must be tried again some seconds later.
HALF_LIFE_SECONDS = 1.0
# Speeds are kept between 0.2 and 5. A single sample counts no further either: one in
# a hundred answers of plain services takes five times longer.
MAX_SPEED = 5.0
MAX_LOG_RATIO = math.log(MAX_SPEED)


class SpeedEstimate(NamedTuple):
    """Sums of samples with exponential decay.

    Attributes
    ----------
    log_sum : float
        Weighted sum of the logarithms of the speed.
    weight : float
        Sum of the weights.
    at : float
        Time in seconds to which both are decayed.
    """

    log_sum: float = 0.0
    weight: float = 0.0
    at: float = 0.0


def decay(estimate: SpeedEstimate, now: float) -> SpeedEstimate:
    """Return the estimate decayed to a time."""
    factor = 0.5 ** (max(0.0, now - estimate.at) / HALF_LIFE_SECONDS)
    return SpeedEstimate(estimate.log_sum * factor, estimate.weight * factor, now)


def add_sample(
    estimate: SpeedEstimate, log_ratio: float, weight: float, now: float
) -> SpeedEstimate:
    """Return the estimate with a further sample.

    Load: one in a hundred answers takes five times longer at any server.
    """
    bounded = min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_ratio))
    decayed = decay(estimate, now)
    return decayed._replace(
        log_sum=decayed.log_sum + weight * bounded, weight=decayed.weight + weight
    )
