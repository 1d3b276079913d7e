"""Subcommand ``usage``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from wisteriagw.admin._arguments import add_customer
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_read

if TYPE_CHECKING:
    import argparse

FIGURES = ("prompt", "cached prompt", "generated tokens", "service calls")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the customer and the window."""
    add_customer(parser)
    parser.add_argument(
        "--window", type=int, required=True, help="Number of the window."
    )


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that shows the figures."""
    query = {"customer": arguments.customer, "window": arguments.window}
    return build_read(f"/v1/usage?{urlencode(query)}")


def format_answer(answer: dict[str, Any]) -> str:
    """Return the state of the window, its figures and one line per record."""
    states = [name for name in ("sealed", "recorded", "reported") if answer[name]]
    state = ", ".join(states) or "open"
    lines = [f"window {answer['window']} of {answer['customer']}: {state}"]
    if answer["missing_before"] is not None:
        lines.append(
            f"records before offset {answer['missing_before']} are no longer kept, the "
            "figures may be incomplete"
        )
    for row in answer["rows"]:
        late = f" (late, belongs to window {row['belongs_to']})" if row["late"] else ""
        lines.append(f"total{late}: {format_figures(row['figures'])}")
    for record in answer["records"]:
        identity = f"{record['vm']}/{record['incarnation']}/{record['seq']}"
        line = f"  offset {record['offset']} {identity}"
        if record["belongs_to"] < answer["window"]:
            line += f" for window {record['belongs_to']}"
        line += f": {format_figures(record['figures'])}"
        if record["requests"]:
            line += f"; by id: {', '.join(record['requests'])}"
        lines.append(line)
    return "\n".join(lines)


def format_figures(figures: list[int]) -> str:
    """Return the figures with their names."""
    pairs = zip(FIGURES, figures, strict=True)
    return ", ".join(f"{name} {count}" for name, count in pairs)


USAGE = Command(
    "usage",
    "Show the usage of a customer in a window and the records it consists of.",
    add_arguments,
    build_call,
    format_answer,
)
