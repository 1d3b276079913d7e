"""Sheet checks that involve several rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._row_cells import describe_cell
from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisteriagw.config._parsed_row import ParsedRow

# Per table: the fields that must be unique together, and the column that a finding
# about a duplicate refers to.
UNIQUE_FIELDS = {
    "customers": (("name",), "name"),
    "models": (("name",), "name"),
    "backend_servers": (("name",), "name"),
    "routes": (("service", "method", "path"), "path"),
}


def check_references(rows: Iterable[ParsedRow]) -> Iterator[Finding]:
    """Find engines whose model and routes whose service are not on the sheet."""
    rows = list(rows)
    names = {"engine": set(), "service": set()}
    for row in rows:
        if row.table == "models":
            names["engine"].add(row.fields["name"])
        if row.fields.get("kind") == "service":
            names["service"].add(row.fields["serves"])
    for row in rows:
        if row.fields.get("kind") == "engine":
            yield from _check_name(row, "model", row.fields["serves"], names["engine"])
        if row.table == "routes":
            service = row.fields["service"]
            yield from _check_name(row, "service", service, names["service"])


def check_duplicates(rows: Iterable[ParsedRow]) -> Iterator[Finding]:
    """Find rows that duplicate an earlier row; the finding states its number."""
    first_rows: dict[tuple, int] = {}
    for row in rows:
        fields, column = UNIQUE_FIELDS[row.table]
        values = [row.fields[field] for field in fields]
        if None in values:
            continue
        first = first_rows.setdefault((row.table, *values), row.number)
        if first != row.number:
            text = " ".join(values)
            message = f"{text!r} is already defined in row {first}"
            yield Finding(describe_cell(row.number, column), message)


def _check_name(
    row: ParsedRow, kind: str, name: str | None, known: set[str]
) -> Iterator[Finding]:
    # The value of an invalid cell is None and has already been reported.
    if name is None or name in known:
        return
    place = describe_cell(row.number, "serves")
    yield Finding(place, f"no row of the sheet defines the {kind} {name!r}")
