"""Fault: load reports are late or absent."""

from __future__ import annotations

from typing import NamedTuple


class ReportFault(NamedTuple):
    """Reports of every other backend server stop, those of the rest lag by more."""

    seconds: float
    extra_lag: float = 10.0
