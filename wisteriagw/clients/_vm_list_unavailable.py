"""Error of a call to the VM list without a valid response."""

from __future__ import annotations


class VmListUnavailableError(Exception):
    """No valid response was received; the last list read stays in use."""
