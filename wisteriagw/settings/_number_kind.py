"""Kind of a setting: number."""

from __future__ import annotations

from typing import NamedTuple


class NumberKind(NamedTuple):
    """A number within inclusive bounds."""

    minimum: float
    maximum: float
    unit: str
