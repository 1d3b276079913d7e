"""Reading and checking of a sheet in CSV form."""

from __future__ import annotations

import csv
import io
from functools import partial
from typing import TYPE_CHECKING, Any

from wisteriagw.findings import Finding
from wisteriagw.settings import AddressKind, parse_value

if TYPE_CHECKING:
    from collections.abc import Callable

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
ROLES = ("prefill", "decode", "mixed")
METHODS = ("GET", "POST", "PUT", "DELETE")
MAX_PRIORITY = 9


def parse_sheet(text: str) -> tuple[Sheet, list[Finding]]:
    """Return the sheet in a CSV text and every fault with its row and column."""
    sheet: Sheet = {
        "customers": [],
        "models": [],
        "backend_servers": [],
        "routes": [],
    }
    findings: list[Finding] = []
    reader = csv.DictReader(io.StringIO(text))
    if tuple(reader.fieldnames or ()) != COLUMNS:
        findings.append(Finding("row 1", f"the columns must be {','.join(COLUMNS)}"))
        return sheet, findings
    for row in reader:
        read_row = partial(_read_cell, row, reader.line_num, findings)
        _add_row(sheet, read_row, findings, reader.line_num, row)
    _check_references(sheet, findings)
    return sheet, findings


def _add_row(
    sheet: Sheet,
    read: Callable[..., Any],
    findings: list[Finding],
    number: int,
    row: dict[str, Any],
) -> None:
    kind = row["kind"]
    if None in row or None in row.values():
        findings.append(Finding(f"row {number}", "wrong number of columns"))
        return
    if kind == "customer":
        sheet["customers"].append(
            {
                "name": read("name", _parse_name),
                "weight": read("weight", _parse_weight),
                "priority": read("priority", _parse_priority),
            }
        )
        return
    if kind == "model":
        sheet["models"].append(
            {
                "name": read("name", _parse_name),
                "version": read("version", _parse_name),
                "adapters": [part for part in row["adapters"].split("|") if part],
            }
        )
        return
    if kind in ("engine", "service"):
        sheet["backend_servers"].append(_read_backend_server(read, kind))
        return
    if kind == "route":
        sheet["routes"].append(
            {
                "service": read("serves", _parse_name),
                "method": read("method", partial(_parse_choice, METHODS)),
                "path": read("path", _parse_path),
                "idempotent": read("idempotent", _parse_flag),
                "open": read("open", _parse_flag),
            }
        )
        return
    findings.append(Finding(f"row {number}, column kind", f"unknown kind {kind!r}"))


def _read_backend_server(read: Callable[..., Any], kind: str) -> Any:
    return {
        "name": read("name", _parse_name),
        "data_centre": read("data_centre", _parse_name),
        "address": read("address", _parse_address),
        "kind": kind,
        "serves": read("serves", _parse_name),
        "role": read("role", partial(_parse_choice, ROLES)) if kind == "engine" else "",
        "checks_fencing": read("checks_fencing", _parse_flag),
        "reclaimable": read("reclaimable", _parse_flag),
    }


def _read_cell(
    row: dict[str, str],
    number: int,
    findings: list[Finding],
    column: str,
    parse: Callable[[str], Any],
) -> Any:
    text = (row[column] or "").strip()
    try:
        return parse(text)
    except ValueError as error:
        findings.append(Finding(f"row {number}, column {column}", str(error)))
        return None


def _parse_name(text: str) -> str:
    if not text:
        raise ValueError("must not be empty")
    if not all(char.isalnum() or char in "-_." for char in text):
        raise ValueError(f"{text!r} holds other characters than letters, digits, -_.")
    return text


def _parse_address(text: str) -> str:
    parse_value(AddressKind(), text)
    return text


def _parse_weight(text: str) -> float:
    weight = float(text)
    if not 0 < weight <= 1000:
        raise ValueError(f"{text} is not above 0 and at most 1000")
    return weight


def _parse_priority(text: str) -> int:
    priority = int(text or "0")
    if not 0 <= priority <= MAX_PRIORITY:
        raise ValueError(f"{text} is not between 0 and {MAX_PRIORITY}")
    return priority


def _parse_flag(text: str) -> bool:
    if text not in ("yes", "no", ""):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def _parse_choice(choices: tuple[str, ...], text: str) -> str:
    if text not in choices:
        raise ValueError(f"{text!r} is not one of {', '.join(choices)}")
    return text


def _parse_path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError(f"{text!r} does not start with /")
    return text


def _check_references(sheet: Sheet, findings: list[Finding]) -> None:
    models = {row["name"] for row in sheet["models"]}
    services = {
        row["serves"] for row in sheet["backend_servers"] if row["kind"] == "service"
    }
    for row in sheet["backend_servers"]:
        if row["kind"] == "engine" and row["serves"] not in models:
            findings.append(
                Finding(f"engine {row['name']}", f"unknown model {row['serves']!r}")
            )
    for row in sheet["routes"]:
        if row["service"] not in services:
            findings.append(
                Finding(f"route {row['path']}", f"unknown service {row['service']!r}")
            )
    for table in ("customers", "models", "backend_servers"):
        names: set[str] = set()
        for row in sheet[table]:
            if row["name"] in names:
                findings.append(Finding(table, f"{row['name']!r} is given twice"))
            names.add(row["name"])
