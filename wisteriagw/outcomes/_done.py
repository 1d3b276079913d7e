"""Outcome of an attempt with a complete response."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The backend server sent a complete response."""

    status: int
    body: bytes
    content_type: str = "application/json"
