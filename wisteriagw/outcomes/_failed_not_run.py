"""Outcome of an attempt that failed before any byte was sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FailedNotRun:
    """No connection was established, so the request cannot have run."""

    reason: str
