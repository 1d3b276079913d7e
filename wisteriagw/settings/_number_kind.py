"""Kind of a setting: number."""

from __future__ import annotations

from typing import NamedTuple


class NumberKind(NamedTuple):
    """A number within bounds, both included."""

    minimum: float
    maximum: float
    unit: str
