"""Outcome of an attempt that the receiver refused before running it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RefusedNotRun:
    """The receiver responded that it did not run the request.

    Attributes
    ----------
    retry_after : float or None
        Seconds after which another attempt may succeed, if known.
    """

    code: str
    message: str
    retry_after: float | None = None
