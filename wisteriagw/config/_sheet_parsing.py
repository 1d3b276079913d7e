"""Parsing and validation of a sheet in CSV format."""

from __future__ import annotations

import csv
import io
from typing import TYPE_CHECKING

from wisteriagw.config._parsed_row import ParsedRow
from wisteriagw.config._references import check_duplicates, check_references
from wisteriagw.config._row_cells import RowCells, describe_cell
from wisteriagw.config._row_readers import ROW_READERS
from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from wisteriagw.config._sheet import Sheet

COLUMNS = (
    "kind",
    "name",
    "version",
    "adapters",
    "data_centre",
    "address",
    "serves",
    "role",
    "weight",
    "priority",
    "checks_fencing",
    "reclaimable",
    "method",
    "path",
    "idempotent",
    "open",
)
# Spreadsheet programs write a byte order mark at the start of a CSV export.
BYTE_ORDER_MARK = "\ufeff"


def parse_sheet(text: str) -> tuple[Sheet, list[Finding]]:
    """Parse a sheet from CSV; return it with a finding for each invalid row or cell."""
    sheet: Sheet = {"customers": [], "models": [], "backend_servers": [], "routes": []}
    findings: list[Finding] = []
    rows = _read_rows(text.removeprefix(BYTE_ORDER_MARK), findings)
    for row in rows:
        sheet[row.table].append(row.fields)
    findings.extend(check_references(rows))
    findings.extend(check_duplicates(rows))
    return sheet, findings


def _read_rows(text: str, findings: list[Finding]) -> list[ParsedRow]:
    reader = csv.reader(io.StringIO(text, newline=""))
    rows: list[ParsedRow] = []
    number = 0
    try:
        for number, cells in enumerate(reader, start=1):
            if number == 1 and tuple(cells) != COLUMNS:
                message = f"the columns must be {','.join(COLUMNS)}"
                findings.append(Finding("row 1", message))
                return []
            if number == 1 or not cells:
                continue
            row = _read_row(number, cells, findings)
            if row is not None:
                rows.append(row)
    except csv.Error as error:
        findings.append(Finding(f"row {number + 1}", f"not valid CSV: {error}"))
    if number == 0:
        findings.append(Finding("row 1", "the sheet is empty"))
    return rows


def _read_row(
    number: int, cells: list[str], findings: list[Finding]
) -> ParsedRow | None:
    if len(cells) != len(COLUMNS):
        message = f"expected {len(COLUMNS)} columns, found {len(cells)}"
        findings.append(Finding(f"row {number}", message))
        return None
    texts = dict(zip(COLUMNS, cells, strict=True))
    kind = texts["kind"].strip()
    if kind not in ROW_READERS:
        message = f"{kind!r} is not one of {', '.join(ROW_READERS)}"
        findings.append(Finding(describe_cell(number, "kind"), message))
        return None
    table, read_row = ROW_READERS[kind]
    return ParsedRow(number, table, read_row(RowCells(number, texts, findings)))
