"""Delay before the next attempt to connect."""

from __future__ import annotations

FIRST_BACKOFF_SECONDS = 0.2
# A restarted peer must be reconnected well within the 6 s after which it counts as
# failed.
MAX_BACKOFF_SECONDS = 2.0


def compute_backoff(failures: int, random_value: float) -> float:
    """Return the delay after a number of failures, with jitter from a random value.

    The random value is in [0, 1). All peers lose a VM at the same moment, so half of
    the delay is jitter.
    """
    longest = min(MAX_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2 ** min(failures, 10))
    return longest * (0.5 + random_value / 2)
