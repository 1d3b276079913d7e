"""Kind of a setting: integer."""

from __future__ import annotations

from typing import NamedTuple


class IntegerKind(NamedTuple):
    """A whole number within bounds, both included."""

    minimum: int
    maximum: int
    unit: str
