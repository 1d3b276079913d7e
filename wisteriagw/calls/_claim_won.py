"""Decision on a claim: it is the first."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """The claim was read back as the first one of its key."""
