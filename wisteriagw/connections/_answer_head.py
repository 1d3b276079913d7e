"""Status and headers of an answer."""

from __future__ import annotations

from typing import NamedTuple


class AnswerHead(NamedTuple):
    """Head of an answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]

    def find_header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None
