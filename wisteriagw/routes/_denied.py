"""Denial of a request."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Denied:
    """The request may not run, or it is not known whether it may."""

    status: int
    code: str
    message: str
