"""Fault: load reports are late or absent."""

from __future__ import annotations

from typing import NamedTuple


class ReportFault(NamedTuple):
    """Every second backend server stops its reports; those of the rest lag by more."""

    seconds: float
    extra_lag: float = 10.0
