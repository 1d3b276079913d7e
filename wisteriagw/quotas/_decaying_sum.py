"""Sum whose terms decay exponentially."""

from __future__ import annotations

import math


class DecayingSum:
    """Sum of amounts that decay with a time constant.

    Divided by the time constant the sum is a rate, and the integral of this rate over
    time is the total of the amounts.

    Parameters
    ----------
    seconds : float
        Time constant.
    """

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._value = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount; a negative one takes back what was added before."""
        self._value = self.get(now) + amount
        self._at = now

    def get(self, now: float) -> float:
        """Return the sum at a time."""
        return self._value * math.exp((self._at - now) / self._seconds)

    def get_rate(self, now: float) -> float:
        """Return the rate per second at a time."""
        return self.get(now) / self._seconds
