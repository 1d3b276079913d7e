"""Clock that only moves when a test says so."""

from __future__ import annotations


class VirtualClock:
    """Callable like the clocks of the running programs."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds
