"""Kind of a setting: integer."""

from __future__ import annotations

from typing import NamedTuple


class IntegerKind(NamedTuple):
    """An integer within inclusive bounds."""

    minimum: int
    maximum: int
    unit: str
