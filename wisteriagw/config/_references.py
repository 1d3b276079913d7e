"""Checks of a sheet that look at several rows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.config._row_cells import describe_cell
from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from wisteriagw.config._placed_row import PlacedRow

# Fields that identify a row of a table, and the column that a duplicate is shown at.
IDENTITIES = {
    "customers": (("name",), "name"),
    "models": (("name",), "name"),
    "backend_servers": (("name",), "name"),
    "routes": (("service", "method", "path"), "path"),
}


def check_references(rows: Iterable[PlacedRow]) -> Iterator[Finding]:
    """Find engines without a model on the sheet and routes without a service."""
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


def check_duplicates(rows: Iterable[PlacedRow]) -> Iterator[Finding]:
    """Find rows with the identity of an earlier row, and name that row."""
    first_rows: dict[tuple, int] = {}
    for row in rows:
        fields, column = IDENTITIES[row.table]
        values = [row.fields[field] for field in fields]
        if None in values:
            continue
        first = first_rows.setdefault((row.table, *values), row.number)
        if first != row.number:
            text = " ".join(values)
            message = f"{text!r} is given in row {first} already"
            yield Finding(describe_cell(row.number, column), message)


def _check_name(
    row: PlacedRow, what: str, name: str | None, known: set[str]
) -> Iterator[Finding]:
    # A cell with a fault of its own is None and was reported already.
    if name is None or name in known:
        return
    place = describe_cell(row.number, "serves")
    yield Finding(place, f"no row of the sheet gives the {what} {name!r}")
