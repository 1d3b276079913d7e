"""Clocks of the running programs; decisions get the time as an argument."""

from __future__ import annotations

from wisteriagw.clocks._readings import read_boot_time, read_wall_time
from wisteriagw.clocks._steady_wall_clock import SteadyWallClock

__all__ = ["SteadyWallClock", "read_boot_time", "read_wall_time"]
