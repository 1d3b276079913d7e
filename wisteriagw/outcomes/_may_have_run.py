"""Outcome of an attempt whose effect is unknown."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The request was passed to the transport, but its response was not received."""

    reason: str
