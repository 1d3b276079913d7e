"""Error of a call to the backend server interface that had no usable answer."""

from __future__ import annotations


class BackendsUnavailableError(Exception):
    """The interface did not answer; an order may still have taken effect."""
