"""Parsed row of a sheet with its row number."""

from __future__ import annotations

from typing import Any, NamedTuple


class ParsedRow(NamedTuple):
    """A row of the CSV text after parsing.

    Attributes
    ----------
    number : int
        Row number as in a spreadsheet; the header is row 1.
    table : str
        Table of the sheet that the row belongs to.
    fields : dict
        Fields of the row; None where the cell is invalid.
    """

    number: int
    table: str
    fields: dict[str, Any]
