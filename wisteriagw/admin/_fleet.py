"""Subcommand ``fleet``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.admin._arguments import add_no_arguments
from wisteriagw.admin._command import Command
from wisteriagw.admin._operator_call import OperatorCall, build_read

if TYPE_CHECKING:
    import argparse


def build_call(arguments: argparse.Namespace) -> OperatorCall:
    """Return the call that shows the fleet."""
    return build_read("/v1/fleet")


def format_answer(answer: dict[str, Any]) -> str:
    """Return one line per VM, customer, backend server and finding."""
    lines = [
        f"seen by {answer['vm']} at revision {answer['revision']}, sheet revision "
        f"{answer['sheet_revision']} of {answer['sheet_operator'] or 'nobody'}"
    ]
    if answer["state_incomplete"]:
        lines.append("state_incomplete: records of the configuration are missing")
    for vm in answer["vms"]:
        lines.append(f"vm {vm['name']}: revision {vm['revision']}")
    for customer in answer["customers"]:
        lines.append(f"customer {customer['name']}: {customer['keys']} keys")
    for server in answer["backend_servers"]:
        state = "leaving" if server["leaving"] else "serving"
        lines.append(
            f"backend server {server['name']} in {server['data_centre']}: {state}, "
            f"{server['serves']} {server['role']}".rstrip()
        )
    for finding in answer["findings"]:
        lines.append(f"{finding['place']}: {finding['message']}")
    return "\n".join(lines)


FLEET = Command(
    "fleet", "Show the state of the fleet.", add_no_arguments, build_call, format_answer
)
