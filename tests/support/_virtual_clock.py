"""Clock that a test advances."""

from __future__ import annotations


class VirtualClock:
    """Callable that replaces the clocks of the programs."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds
