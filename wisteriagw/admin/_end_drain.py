"""Subcommand ``end-drain``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.admin._arguments import add_backend_server
from wisteriagw.admin._change_text import format_change
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_change

if TYPE_CHECKING:
    import argparse


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that ends the drain."""
    return build_change("/v1/drain-ends", {"backend_server": arguments.backend_server})


END_DRAIN = Command(
    "end-drain",
    "Send new work to a draining backend server again.",
    add_backend_server,
    build_call,
    format_change,
)
