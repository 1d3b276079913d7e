"""Step of a usage reporter: record figures."""

from __future__ import annotations

from typing import Any, NamedTuple


class RecordFigures(NamedTuple):
    """Append the exact figures of a closed window."""

    window: int
    rows: list[list[Any]]
