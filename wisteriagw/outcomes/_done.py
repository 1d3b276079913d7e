"""Outcome of an attempt that was answered."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Done:
    """The backend server answered the attempt."""

    status: int
    body: bytes
    content_type: str = "application/json"
