"""Verdict on a claim: whether it is the first is not known."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim could not be read back; its call is not sent."""

    reason: str
