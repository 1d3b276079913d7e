"""Readings of the machine's clocks, in seconds."""

from __future__ import annotations

import time


def read_boot_time() -> float:
    """Return the seconds since boot, suspended time included.

    Leases and permits use this clock: CLOCK_MONOTONIC stops while the VM is suspended,
    so a holder that was suspended would underestimate the age of its lease.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time() -> float:
    """Return the seconds since the Unix epoch, for windows and time stamps only."""
    return time.time()
