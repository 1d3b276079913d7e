"""Kind of a setting: choice."""

from __future__ import annotations

from typing import NamedTuple


class ChoiceKind(NamedTuple):
    """One of a fixed set of values."""

    values: tuple[str, ...]
