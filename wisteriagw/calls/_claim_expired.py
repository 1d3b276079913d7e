"""Verdict on a claim: it is too old to be acted on."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimExpired:
    """The claim is the first but older than its bound; its call is not sent."""

    age_seconds: float
