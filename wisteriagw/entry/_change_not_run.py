"""Outcome of a change that did not reach the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChangeNotRun:
    """The log was not reached, so the change cannot take effect."""

    reason: str
