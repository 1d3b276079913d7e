"""Retention of the log."""

from __future__ import annotations

from typing import NamedTuple


class Retention(NamedTuple):
    """Limits beyond which the log removes records; the first one reached applies."""

    records: int
    seconds: float
