"""Largest value of the recent past."""

from __future__ import annotations

# Memory and time of a peak are bounded by the number of its steps.
STEPS = 16


class RecentPeak:
    """Largest value that was recorded within some seconds.

    Parameters
    ----------
    seconds : float
        Time for which a value counts, with an error of one sixteenth.
    """

    def __init__(self, seconds: float) -> None:
        self._step_seconds = seconds / STEPS
        self._peaks: dict[int, float] = {}

    def record(self, value: float, now: float) -> None:
        """Record a value."""
        step = int(now / self._step_seconds)
        if step not in self._peaks:
            oldest = step - STEPS
            self._peaks = {at: v for at, v in self._peaks.items() if at >= oldest}
        self._peaks[step] = max(value, self._peaks.get(step, value))

    def get(self, now: float) -> float:
        """Return the largest value, 0 if there is none."""
        oldest = int(now / self._step_seconds) - STEPS
        return max((v for at, v in self._peaks.items() if at >= oldest), default=0.0)
