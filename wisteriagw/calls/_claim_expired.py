"""Decision on a claim: it is too old for the call to be sent."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimExpired:
    """The claim is the first but exceeds its maximum age; its call is not sent."""

    age_seconds: float
