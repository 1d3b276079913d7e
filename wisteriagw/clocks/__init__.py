"""Clocks of the running programs; decisions get the time as an argument."""

from __future__ import annotations

from wisteriagw.clocks._readings import read_boot_time, read_wall_time

__all__ = ["read_boot_time", "read_wall_time"]
