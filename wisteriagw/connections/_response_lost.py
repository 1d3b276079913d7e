"""Error of a response that did not arrive completely."""

from __future__ import annotations


class ResponseLostError(Exception):
    """The connection was lost, or broke the protocol, before the end of a response."""
