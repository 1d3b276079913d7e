"""Error of a call to the log that had no usable answer."""

from __future__ import annotations


class LogUnavailableError(Exception):
    """The log did not answer; an append may still have taken effect."""
