"""Time windows in which usage is reported."""

from __future__ import annotations

WINDOW_SECONDS = 60
# Partials are appended every 2 s; the rest allows for a slow log and clock skew.
SEAL_GRACE_SECONDS = 10.0


def get_window(wall_time: float, seconds: float = WINDOW_SECONDS) -> int:
    """Return the number of the window that a time falls into."""
    return int(wall_time // seconds)


def get_newest_closable_window(
    wall_time: float,
    seconds: float = WINDOW_SECONDS,
    grace: float = SEAL_GRACE_SECONDS,
) -> int:
    """Return the newest window that has been over for at least the grace period."""
    return get_window(wall_time - grace, seconds) - 1
