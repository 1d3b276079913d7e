"""Subcommand ``publish``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.admin._arguments import add_sheet, read_sheet
from wisteriagw.admin._change_text import format_change
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_change

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the sheet and the revision that it replaces."""
    add_sheet(parser)
    parser.add_argument(
        "--based-on",
        type=int,
        help="Sheet revision that this sheet replaces; the current one by default.",
    )


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that publishes the sheet."""
    body: dict[str, Any] = {"sheet": read_sheet(arguments.file)}
    if arguments.based_on is not None:
        body["based_on"] = arguments.based_on
    return build_change("/v1/sheets", body)


PUBLISH = Command(
    "publish", "Check and publish a sheet.", add_arguments, build_call, format_change
)
