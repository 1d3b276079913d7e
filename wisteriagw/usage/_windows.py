"""Windows of time in which usage is reported."""

from __future__ import annotations

WINDOW_SECONDS = 60
# Partials are appended every 2 s; the rest is for a slow log and clocks that differ.
SEAL_GRACE_SECONDS = 10.0


def get_window(wall_time: float, seconds: float = WINDOW_SECONDS) -> int:
    """Return the number of the window that a time falls into."""
    return int(wall_time // seconds)


def get_newest_closable_window(
    wall_time: float,
    seconds: float = WINDOW_SECONDS,
    grace: float = SEAL_GRACE_SECONDS,
) -> int:
    """Return the newest window that is over for long enough to be closed."""
    return get_window(wall_time - grace, seconds) - 1
