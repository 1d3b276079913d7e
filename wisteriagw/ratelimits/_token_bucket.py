"""Token bucket."""

from __future__ import annotations

INFINITY = float("inf")


class TokenBucket:
    """Admits requests at a rate that may change, with small bursts.

    Parameters
    ----------
    now : float
        Time in seconds.

    Attributes
    ----------
    rate : float
        Tokens per second.
    depth : float
        Most tokens that are kept, 1 at least.
    """

    def __init__(self, now: float) -> None:
        self.rate = 0.0
        self.depth = 1.0
        self._level = 0.0
        self._at = now

    def set_rate(self, rate: float, depth: float, now: float) -> None:
        """Change the rate and the depth from now on."""
        self._fill(now)
        self.rate, self.depth = rate, depth

    def find_wait(self, now: float) -> float:
        """Return the seconds until there is a whole token."""
        self._fill(now)
        missing = 1.0 - self._level
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else INFINITY

    def take(self, now: float) -> None:
        """Take a token; work that must go on may take one that is not there yet."""
        self._fill(now)
        self._level -= 1.0

    def _fill(self, now: float) -> None:
        self._level = min(self.depth, self._level + (now - self._at) * self.rate)
        self._at = now
