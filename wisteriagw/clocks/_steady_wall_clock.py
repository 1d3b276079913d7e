"""Wall clock that does not follow jumps."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# A larger difference is a jump of the time of day; smaller ones are its adjustment.
JUMP_SECONDS = 0.3
ADJUSTED_PART = 0.05
# A jump that is not taken back within this time was a correction.
ACCEPT_SECONDS = 60.0


class SteadyWallClock:
    """Gives the time of day by the boot-time clock.

    The time of day of a VM may jump by seconds and back again. Usage that is counted
    meanwhile would fall into the wrong window.
    """

    def __init__(
        self, read_wall: Callable[[], float], read_boot: Callable[[], float]
    ) -> None:
        self._read_wall = read_wall
        self._read_boot = read_boot
        self._offset = read_wall() - read_boot()
        self._jumped_at: float | None = None

    def read(self) -> float:
        """Return the seconds since the Unix epoch."""
        boot = self._read_boot()
        difference = self._read_wall() - boot - self._offset
        if abs(difference) < JUMP_SECONDS:
            self._jumped_at = None
            self._offset += ADJUSTED_PART * difference
        elif self._jumped_at is None:
            self._jumped_at = boot
        elif boot - self._jumped_at > ACCEPT_SECONDS:
            self._jumped_at = None
            self._offset += difference
        return boot + self._offset
