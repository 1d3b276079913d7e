"""Load reports of the engine stand-in."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.standins._engine import Engine


class DelayedReports:
    """Reports the load of an engine with a lag.

    Parameters
    ----------
    engine : Engine
        Engine whose load is reported.
    clock : callable
        The engine's own clock, in seconds.
    lag_seconds : float
        Minimum age of the reported load; 0 reports the current load.
    """

    def __init__(
        self, engine: Engine, clock: Callable[[], float], lag_seconds: float = 0.0
    ) -> None:
        self._engine = engine
        self._clock = clock
        self._lag_seconds = lag_seconds
        self._samples: deque[dict[str, Any]] = deque()

    def sample(self) -> None:
        """Store the current load, and drop samples that are no longer needed."""
        now = self._clock()
        self._samples.append({**self._engine.describe_load(), "as_of": now})
        while len(self._samples) > 1:
            if self._samples[1]["as_of"] > now - self._lag_seconds:
                return
            self._samples.popleft()

    def describe(self) -> dict[str, Any]:
        """Return the newest sample that is as old as the lag, or else the oldest."""
        if not self._samples or not self._lag_seconds:
            self.sample()
        shown = self._samples[-1] if not self._lag_seconds else self._samples[0]
        return {**shown, "sent_at": self._clock(), "leaving": self._engine.leaving}
