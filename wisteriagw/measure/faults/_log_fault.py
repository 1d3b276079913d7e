"""Fault: the log is down."""

from __future__ import annotations

from typing import NamedTuple


class LogFault(NamedTuple):
    """The log is down, so that no order can be sent."""

    seconds: float
