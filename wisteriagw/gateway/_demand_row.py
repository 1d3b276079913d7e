"""Demand that came to one VM, or to several, for one service."""

from __future__ import annotations

import math
from typing import NamedTuple

# Short against bursts of 3 s, long enough to average over some prompts.
TIME_CONSTANT_SECONDS = 1.0


class DemandRow(NamedTuple):
    """Sums that decay exponentially; divided by the time constant they are rates.

    Attributes
    ----------
    prefill_seconds : float
        Engine-seconds of the prefills that requests need, by the VM's own measurement
        of the engines' speed.
    refused : float
        Requests that were refused because no server could take them in time.
    refused_seconds : float
        Seconds for which these would have held a slot.
    """

    prefill_seconds: float = 0.0
    refused: float = 0.0
    refused_seconds: float = 0.0


def decay_row(row: DemandRow, seconds: float) -> DemandRow:
    """Return the row as it is after some seconds without requests."""
    factor = math.exp(-max(0.0, seconds) / TIME_CONSTANT_SECONDS)
    return DemandRow(*(value * factor for value in row))


def add_rows(row: DemandRow, other: DemandRow) -> DemandRow:
    """Return the sum of two rows."""
    return DemandRow(*(a + b for a, b in zip(row, other, strict=True)))
