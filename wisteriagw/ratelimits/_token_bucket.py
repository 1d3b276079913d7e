"""Token bucket."""

from __future__ import annotations

INFINITY = float("inf")
# Time after which an unused token lapses. VMs without requests would otherwise keep one
# each, and send them all at the same moment when callers come.
LAPSE_SECONDS = 1.0


class TokenBucket:
    """Admits requests at a rate that may change; keeps one unused token for a while.

    Parameters
    ----------
    now : float
        Time in seconds.
    level : float
        Part of the first token that is there. It differs between VMs, or all would get
        their tokens at the same moments.

    Attributes
    ----------
    rate : float
        Tokens per second.
    """

    def __init__(self, now: float, level: float = 0.0) -> None:
        self.rate = 0.0
        self._level = level
        self._at = now
        self._full_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._fill(now)
        self.rate = rate

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
        elapsed, self._at = now - self._at, now
        if self._level < 1.0:
            filling = (1.0 - self._level) / self.rate if self.rate > 0 else INFINITY
            if elapsed < filling:
                self._level += elapsed * self.rate
                return
            self._level = 1.0
            self._full_at = now - elapsed + filling
        kept = now - self._full_at
        if kept < LAPSE_SECONDS:
            return
        if self.rate <= 0:
            self._level = 0.0
            return
        # Tokens have lapsed and filled again in turn since then.
        filling = 1.0 / self.rate
        phase = (kept - LAPSE_SECONDS) % (filling + LAPSE_SECONDS)
        self._level = min(1.0, phase * self.rate)
        self._full_at = now - max(0.0, phase - filling)
