"""Subcommand ``check``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.admin._arguments import add_sheet, read_sheet
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall

if TYPE_CHECKING:
    import argparse


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that checks the sheet."""
    body = {"sheet": read_sheet(arguments.file)}
    return OperatorCall("POST", "/v1/sheet-checks", body, repeatable=True)


def format_answer(answer: dict[str, Any]) -> str:
    """Return the row counts and the sheet revision to publish over."""
    rows = ", ".join(f"{count} {table}" for table, count in answer["rows"].items())
    return f"no faults: {rows}\nsheet in force: revision {answer['sheet_revision']}"


CHECK = Command(
    "check",
    "Check a sheet without publishing it.",
    add_sheet,
    build_call,
    format_answer,
)
