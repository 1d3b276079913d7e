"""Outcome of an attempt whose effect is unknown."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The connection was lost after the request was handed to the transport."""

    reason: str
