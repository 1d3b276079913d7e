"""Decision on a claim: its key is in use for another call."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimConflict:
    """The first claim of the key has another request digest."""
