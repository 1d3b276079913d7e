"""Limit of the extra server time of a VM."""

from __future__ import annotations

from collections import deque

# Runs are counted in this many intervals per window, to bound the memory.
INTERVALS_PER_WINDOW = 20
PERCENT = 100.0


class HedgeBudget:
    """Server seconds of a VM's own requests, and of its hedges, in a sliding window.

    A hedge reserves the most that it may take before it is sent. Seconds of requests
    leave the window before the hedges that they allowed, so the extra seconds since the
    start never exceed the percentage of all seconds since the start. As this holds for
    each VM, it holds for the sum over all VMs without any message.

    Parameters
    ----------
    percent : float
        Extra server seconds in percent of the seconds of requests.
    window : float
        Length of the window in seconds.
    """

    def __init__(self, percent: float, window: float) -> None:
        self._fraction = percent / PERCENT
        self._window = window
        self._interval = window / INTERVALS_PER_WINDOW
        self._runs: deque[list[float]] = deque()
        self._hedges: deque[tuple[float, float]] = deque()
        self._reserved = 0.0

    def count_run(self, seconds: float, now: float) -> None:
        """Count the server seconds of a request that was answered."""
        started = now - now % self._interval
        if not self._runs or self._runs[-1][0] != started:
            self._expire(now)
            self._runs.append([started, 0.0])
        self._runs[-1][1] += seconds

    def compute_available(self, now: float) -> float:
        """Return the server seconds that further hedges may take now."""
        self._expire(now)
        allowed = self._fraction * sum(seconds for _, seconds in self._runs)
        return allowed - self._reserved - sum(seconds for _, seconds in self._hedges)

    def reserve(self, seconds: float) -> None:
        """Reserve the most that a hedge may take."""
        self._reserved += seconds

    def settle(self, reserved: float, seconds: float, now: float) -> None:
        """Replace the reservation of a hedge by the seconds that it took."""
        self._reserved -= reserved
        self._hedges.append((now, seconds))

    def _expire(self, now: float) -> None:
        while self._runs and self._runs[0][0] <= now - self._window:
            self._runs.popleft()
        while self._hedges and self._hedges[0][0] <= now - self._window:
            self._hedges.popleft()
