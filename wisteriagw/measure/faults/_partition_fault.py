"""Fault: data centres lose each other's heartbeats."""

from __future__ import annotations

from typing import NamedTuple


class PartitionFault(NamedTuple):
    """No heartbeats pass between a data centre and the others; requests still do."""

    data_centre: str
    seconds: float
