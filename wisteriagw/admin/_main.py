"""The operators' command."""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import sys
from typing import TYPE_CHECKING, Any

from twisted.internet import task
from twisted.internet.defer import inlineCallbacks

from wisteriagw import __version__
from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done
from wisteriagw.settings import AddressKind, get_variable, parse_value

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

PROGRAM = "wisteriagw-admin"
EXIT_FAILED = 1


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the command."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description="Operates wisteriagw.")
    parser.add_argument("--version", action="version", version=__version__)
    variable = get_variable("operator-address")
    parser.add_argument(
        "--operator-address",
        default=None,
        help=f"Operators' address of an entry VM [env: {variable}].",
    )
    parser.add_argument("--operator", default="", help="Name for the audit trail.")
    commands = parser.add_subparsers(dest="command", required=True)
    create = commands.add_parser("create-customer", help="Create a customer.")
    create.add_argument("customer")
    give = commands.add_parser("give-key", help="Give a customer a new key.")
    give.add_argument("customer")
    withdraw = commands.add_parser("withdraw-key", help="Withdraw a key.")
    withdraw.add_argument("key")
    publish = commands.add_parser("publish", help="Check and publish a sheet.")
    publish.add_argument("file", type=pathlib.Path)
    return parser


def build_change(arguments: argparse.Namespace) -> tuple[str, dict[str, Any]]:
    """Return the path and the body of the change that the arguments ask for."""
    body: dict[str, Any] = {"operator": arguments.operator}
    if arguments.command == "create-customer":
        return "/v1/customers", {**body, "customer": arguments.customer}
    if arguments.command == "give-key":
        return "/v1/keys", {**body, "customer": arguments.customer}
    if arguments.command == "withdraw-key":
        return "/v1/withdrawals", {**body, "key": arguments.key}
    return "/v1/sheets", {**body, "sheet": arguments.file.read_text()}


def main() -> None:
    """Run the operators' command."""
    arguments = build_parser().parse_args()
    text = arguments.operator_address or os.environ.get(
        get_variable("operator-address"), ""
    )
    try:
        address = parse_value(AddressKind(), text)
        path, body = build_change(arguments)
    except (OSError, ValueError) as error:
        sys.stderr.write(f"{error}\n")
        sys.exit(2)
    task.react(_send, (address, path, body))


@inlineCallbacks
def _send(
    reactor: Any, address: tuple[str, int], path: str, body: dict[str, Any]
) -> Generator[Deferred[Any], Any, None]:
    client = HttpClient(reactor)
    outcome = yield client.send(address, "POST", path, json.dumps(body).encode("utf-8"))
    yield client.close()
    if not isinstance(outcome, Done):
        sys.stderr.write(f"{outcome}\n")
        sys.exit(EXIT_FAILED)
    sys.stdout.write(outcome.body.decode("utf-8") + "\n")
    if outcome.status != 200:
        sys.exit(EXIT_FAILED)
