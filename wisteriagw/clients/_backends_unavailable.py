"""Error of a call to the backend server interface without a valid response."""

from __future__ import annotations


class BackendsUnavailableError(Exception):
    """No valid response was received; an order may still have taken effect."""
