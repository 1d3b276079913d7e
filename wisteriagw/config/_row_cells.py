"""Cells of one row of a sheet and the findings about them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from collections.abc import Callable


class RowCells(NamedTuple):
    """Cell texts of a row by column; ``read`` adds errors to ``findings``."""

    number: int
    texts: dict[str, str]
    findings: list[Finding]

    def read(self, column: str, parse: Callable[[str], Any]) -> Any:
        """Return the value of a cell, or None if it is invalid."""
        try:
            return parse(self.texts[column].strip())
        except ValueError as error:
            self.findings.append(
                Finding(describe_cell(self.number, column), str(error))
            )
            return None


def describe_cell(number: int, column: str) -> str:
    """Return the location of a cell in the format used in findings."""
    return f"row {number}, column {column}"
