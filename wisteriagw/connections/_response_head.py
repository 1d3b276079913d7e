"""Status and headers of a response."""

from __future__ import annotations

from typing import NamedTuple


class ResponseHead(NamedTuple):
    """Head of a response; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None
