"""Speeds of the servers of one service from the sums of all VMs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from wisteriagw.speeds._speed_estimate import MAX_LOG_RATIO

if TYPE_CHECKING:
    from collections.abc import Mapping

# Weight of speed 1 in each estimate, in answers of a plain service. The logarithms of
# those have a standard deviation of 0.5. With this weight the one of the estimate is
# at most 0.04 at any rate of independent answers (0.5 / sqrt(8 x weight), reached where
# the decayed weight equals it). Queues that are not known yet add to it.
PRIOR_WEIGHT = 20.0
# Servers within 15% count as equal; that is more than three times that deviation.
EQUAL_SPEED_RATIO = 1.15
SPEED_DIGITS = 3


def find_log_speeds(sums: Mapping[str, tuple[float, float]]) -> dict[str, float]:
    """Return the logarithm of the speed of each server of a service.

    Load: servers of one service differ in speed, and some slow down for seconds. Speed
    1 is the mean of the service, by the weight of the samples against the prior, so
    that the estimates and the rates that they are compared with cannot drift together.

    Parameters
    ----------
    sums : mapping
        Weighted sum of logarithms and weight, by server.
    """
    confidences = {
        key: weight / (weight + PRIOR_WEIGHT) for key, (_, weight) in sums.items()
    }
    scores = {
        key: log_sum / (weight + PRIOR_WEIGHT)
        for key, (log_sum, weight) in sums.items()
    }
    total = sum(confidences.values())
    if total <= 0:
        return dict.fromkeys(sums, 0.0)
    mean = sum(scores.values()) / total
    return {key: score - confidences[key] * mean for key, score in scores.items()}


def limit_speed(log_speed: float) -> float:
    """Return the speed that placement counts with: 1 unless it clearly differs."""
    if abs(log_speed) <= math.log(EQUAL_SPEED_RATIO):
        return 1.0
    speed = math.exp(min(MAX_LOG_RATIO, max(-MAX_LOG_RATIO, log_speed)))
    return round(speed, SPEED_DIGITS)
