"""Error of a report that had no usable answer."""

from __future__ import annotations


class UsageUnavailableError(Exception):
    """The usage interface did not answer; the report may have been taken."""
