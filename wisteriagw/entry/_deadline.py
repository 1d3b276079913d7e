"""Deadline of a caller's request."""

from __future__ import annotations

DEADLINE_HEADER = "wisteriagw-deadline-ms"
SERVICE_DEADLINE_SECONDS = 30.0
CHAT_DEADLINE_SECONDS = 600.0
MAX_DEADLINE_MS = 3_600_000


def read_deadline(text: str | None, now: float, default_seconds: float) -> float:
    """Return the time of the deadline, or raise ValueError.

    The header is relative to the arrival, in milliseconds, because callers' clocks
    differ.
    """
    if text is None:
        return now + default_seconds
    if not (text.isascii() and text.isdecimal() and len(text) < 10):
        raise ValueError(f"{DEADLINE_HEADER} is not an integer")
    milliseconds = int(text)
    if not 1 <= milliseconds <= MAX_DEADLINE_MS:
        raise ValueError(f"{DEADLINE_HEADER} is not between 1 and {MAX_DEADLINE_MS}")
    return now + milliseconds / 1000
