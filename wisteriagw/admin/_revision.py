"""Subcommand ``revision``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.admin._change_text import format_change
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_read

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the revision."""
    parser.add_argument(
        "revision", type=int, nargs="?", help="Revision; by default the current one."
    )


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that shows where a revision is in force."""
    revision = "current" if arguments.revision is None else arguments.revision
    return build_read(f"/v1/revisions/{revision}")


REVISION = Command(
    "revision",
    "Show where a revision is not yet in force.",
    add_arguments,
    build_call,
    format_change,
)
