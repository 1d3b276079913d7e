"""Subcommand ``audit``."""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any
from urllib.parse import urlencode

from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_read

if TYPE_CHECKING:
    import argparse


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the filters."""
    parser.add_argument("--customer", default="", help="Only this customer's entries.")
    parser.add_argument(
        "--backend-server", default="", help="Only this server's entries."
    )
    parser.add_argument("--since", type=parse_time, help="ISO 8601; UTC if no zone.")
    parser.add_argument("--until", type=parse_time, help="ISO 8601; UTC if no zone.")
    parser.add_argument("--follow", action="store_true", help="Wait for new entries.")


def parse_time(text: str) -> float:
    """Return the seconds since the epoch; a time without a zone is UTC."""
    moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


def build_call(arguments: argparse.Namespace, start: int = 0) -> OperatorCall:
    """Return the call that reads the audit trail from an offset on."""
    query = {
        "from": start,
        "customer": arguments.customer,
        "backend_server": arguments.backend_server,
        "since": "" if arguments.since is None else arguments.since,
        "until": "" if arguments.until is None else arguments.until,
    }
    return build_read(f"/v1/audit?{urlencode(query)}")


def format_answer(answer: dict[str, Any]) -> str:
    """Return one line per entry."""
    lines = []
    if answer["missing_before"] is not None:
        lines.append(f"entries before {answer['missing_before']} are no longer kept")
    for entry in answer["entries"]:
        at = datetime.fromtimestamp(entry["at"], UTC).isoformat(timespec="seconds")
        change = f"{entry['before'] or '-'} -> {entry['after'] or '-'}"
        line = (
            f"{at} {entry['actor']} {entry['action']} {entry['subject']} "
            f"[{entry['customer'] or '-'}] {change}: {entry['result']}"
        )
        lines.append(f"{line} ({entry['cause']})" if entry["cause"] else line)
    return "\n".join(lines)


def continue_call(
    arguments: argparse.Namespace, answer: dict[str, Any]
) -> OperatorCall | None:
    """Return the call for the next page, or None at the end."""
    if answer["at_tip"] and not arguments.follow:
        return None
    return build_call(arguments, answer["next_offset"])


AUDIT = Command(
    "audit",
    "Show or follow the audit trail.",
    add_arguments,
    build_call,
    format_answer,
    continue_call,
)
