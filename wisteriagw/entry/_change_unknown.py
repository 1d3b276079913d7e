"""Outcome of a change whose effect is not known."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The append had no reply and the record was not found in the log yet."""

    nonce: str
    reason: str
