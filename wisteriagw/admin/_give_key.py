"""Subcommand ``give-key``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.admin._arguments import add_customer
from wisteriagw.admin._change_text import format_change
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_change

if TYPE_CHECKING:
    import argparse


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that issues the key."""
    return build_change("/v1/keys", {"customer": arguments.customer})


GIVE_KEY = Command(
    "give-key",
    "Issue a new key to a customer.",
    add_customer,
    build_call,
    format_change,
)
