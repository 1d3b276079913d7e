"""Outcome of an attempt with a complete response."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Done:
    """The backend server sent a complete response; header names are in lower case."""

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: tuple[tuple[bytes, bytes], ...] = field(
        default=(), repr=False, compare=False
    )
