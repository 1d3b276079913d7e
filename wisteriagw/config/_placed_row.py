"""A row of a sheet with its place in the CSV text."""

from __future__ import annotations

from typing import Any, NamedTuple


class PlacedRow(NamedTuple):
    """A row that was read.

    Attributes
    ----------
    number : int
        Number of the row, as a spreadsheet counts it; the header is row 1.
    table : str
        Table of the sheet that the row belongs to.
    fields : dict
        The row; a field whose cell had a fault is None.
    """

    number: int
    table: str
    fields: dict[str, Any]
