"""Subcommand ``explain``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_read

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the filters."""
    parser.add_argument(
        "request", nargs="?", default="", help="Value of the header Wisteriagw-Request."
    )
    parser.add_argument(
        "--customer", default="", help="Only this customer's decisions."
    )
    parser.add_argument(
        "--limit", type=int, default=20, help="Maximum number of decisions."
    )


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that lists decisions."""
    query = {
        "request": arguments.request,
        "customer": arguments.customer,
        "limit": arguments.limit,
    }
    return build_read(f"/v1/decisions?{urlencode(query)}")


def format_answer(answer: dict[str, Any]) -> str:
    """Return each decision with its inputs and alternatives."""
    lines = []
    for entry in answer["decisions"]:
        decision = entry["decision"]
        request = entry["request_id"] or "service call"
        lines.append(f"{entry['at']:.3f} {request} of {entry['customer']}")
        lines.append(f"  inputs: {entry['inputs']}")
        lines.append(f"  chosen: {decision['chosen']}")
        for alternative in decision["alternatives"]:
            details = ", ".join(
                f"{name} {value}" for name, value in alternative.items()
            )
            lines.append(f"  weighed: {details}")
    return "\n".join(lines) or "no decision matches"


EXPLAIN = Command(
    "explain",
    "Explain the newest decisions of an entry VM.",
    add_arguments,
    build_call,
    format_answer,
)
