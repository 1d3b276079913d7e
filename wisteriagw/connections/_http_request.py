"""Received or outgoing HTTP request."""

from __future__ import annotations

from typing import NamedTuple


class HttpRequest(NamedTuple):
    """A complete request.

    Attributes
    ----------
    method, target : bytes
        Request target: the path with the query.
    headers : tuple of pairs of bytes
        Names in lower case.
    body : bytes
        Complete body.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes = b""

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None
