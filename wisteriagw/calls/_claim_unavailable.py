"""Decision on a claim: it is unknown whether it is the first."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim could not be read back; its call is not sent."""

    reason: str
