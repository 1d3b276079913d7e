"""Subcommand ``withdraw-key``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.admin._change_text import format_change
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_change

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the key or its hash."""
    group = parser.add_mutually_exclusive_group(required=True)
    group.add_argument("key", nargs="?", help="The key.")
    group.add_argument("--key-hash", help="SHA-256 of the key in hexadecimal.")


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that withdraws the key."""
    if arguments.key_hash is not None:
        return build_change("/v1/withdrawals", {"key_hash": arguments.key_hash})
    return build_change("/v1/withdrawals", {"key": arguments.key})


WITHDRAW_KEY = Command(
    "withdraw-key", "Withdraw a key.", add_arguments, build_call, format_change
)
