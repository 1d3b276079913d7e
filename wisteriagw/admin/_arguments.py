"""Arguments shared by several subcommands."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse


def add_no_arguments(parser: argparse.ArgumentParser) -> None:
    """Add no argument."""


def add_customer(parser: argparse.ArgumentParser) -> None:
    """Add the name of a customer."""
    parser.add_argument("customer", help="Name of the customer.")


def add_backend_server(parser: argparse.ArgumentParser) -> None:
    """Add the name of a backend server."""
    parser.add_argument("backend_server", help="Name of the backend server.")


def add_sheet(parser: argparse.ArgumentParser) -> None:
    """Add the file of a sheet."""
    parser.add_argument("file", type=pathlib.Path, help="Sheet in CSV form.")


def read_sheet(path: pathlib.Path) -> str:
    """Return the text of a sheet; raises ValueError if it is not UTF-8."""
    return path.read_text(encoding="utf-8")
