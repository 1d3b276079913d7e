"""Error of a usage report without a valid response."""

from __future__ import annotations


class UsageUnavailableError(Exception):
    """No valid response was received; the report may have been accepted."""
