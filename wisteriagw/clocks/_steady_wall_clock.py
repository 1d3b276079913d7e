"""Wall clock that ignores temporary steps of the time of day."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A larger difference is a step of the wall clock; smaller ones are gradual adjustments.
STEP_THRESHOLD_SECONDS = 0.3
ADJUSTMENT_FACTOR = 0.05
# A step that is not reverted within this time is accepted as a correction.
ACCEPT_STEP_AFTER_SECONDS = 60.0


class SteadyWallClock:
    """Derives the wall-clock time from the boot-time clock.

    The wall clock of a VM may step by seconds and back again. Usage counted in between
    would fall into the wrong window.
    """

    def __init__(
        self, read_wall: Callable[[], float], read_boot: Callable[[], float]
    ) -> None:
        self._read_wall = read_wall
        self._read_boot = read_boot
        self._offset = read_wall() - read_boot()
        self._stepped_at: float | None = None

    def read(self) -> float:
        """Return the seconds since the Unix epoch."""
        boot = self._read_boot()
        difference = self._read_wall() - boot - self._offset
        if abs(difference) < STEP_THRESHOLD_SECONDS:
            self._stepped_at = None
            self._offset += ADJUSTMENT_FACTOR * difference
        elif self._stepped_at is None:
            self._stepped_at = boot
        elif boot - self._stepped_at > ACCEPT_STEP_AFTER_SECONDS:
            self._stepped_at = None
            self._offset += difference
        return boot + self._offset
