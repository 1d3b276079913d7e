"""Error of a call to the VM list that had no usable answer."""

from __future__ import annotations


class VmListUnavailableError(Exception):
    """The VM list did not answer; the last list read stays in use."""
