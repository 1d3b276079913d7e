"""Entry point of the operators' command."""

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
from wisteriagw.admin._commands import COMMANDS
from wisteriagw.admin._outcome_text import build_error, format_error
from wisteriagw.admin._sending import send_call
from wisteriagw.findings import format_findings
from wisteriagw.http import HttpClient
from wisteriagw.outcomes import Done
from wisteriagw.settings import AddressListKind, get_variable_name, parse_value
from wisteriagw.transport import (
    FLEET_TLS,
    FLEET_TLS_OPTIONS,
    check_tls_files,
    load_transport,
)

if TYPE_CHECKING:
    from collections.abc import Generator, Sequence

    from twisted.internet.defer import Deferred

    from wisteriagw.admin._command import Command
    from wisteriagw.admin._operator_call import OperatorCall

PROGRAM = "wisteriagw-admin"
EXIT_FAILED = 1
EXIT_INVALID_ARGUMENTS = 2
FOLLOW_INTERVAL_SECONDS = 1.0
OPTIONS = (
    ("operator-address", "Operators' addresses of entry VMs, separated by commas."),
    ("operator-token-file", "File with the operators' token."),
    ("operator", "Name of the operator in the audit trail."),
    *((option.name, option.help) for option in FLEET_TLS_OPTIONS),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser of the command."""
    parser = argparse.ArgumentParser(prog=PROGRAM, description="Operates wisteriagw.")
    parser.add_argument("--version", action="version", version=__version__)
    for name, text in OPTIONS:
        variable = get_variable_name(name)
        parser.add_argument(
            f"--{name}",
            default=os.environ.get(variable, ""),
            help=f"{text} [env: {variable}]",
        )
    parser.add_argument("--cause", default="", help="Reason for the audit trail.")
    parser.add_argument("--json", action="store_true", help="Print answers as JSON.")
    commands = parser.add_subparsers(dest="command", required=True)
    for command in COMMANDS:
        subparser = commands.add_parser(command.name, help=command.help)
        command.add_arguments(subparser)
    return parser


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the operators' command."""
    parsed = build_parser().parse_args(arguments)
    command = next(entry for entry in COMMANDS if entry.name == parsed.command)
    try:
        addresses = parse_value(AddressListKind(), parsed.operator_address)
        headers = build_headers(parsed.operator_token_file)
        transport = build_transport(parsed)
        call = command.build_call(parsed)
    except (OSError, ValueError) as error:
        sys.stderr.write(f"{PROGRAM}: {error}\n")
        sys.exit(EXIT_INVALID_ARGUMENTS)
    task.react(_run, (parsed, command, addresses, headers, call, transport))


def build_headers(token_file: str) -> dict[str, str]:
    """Return the headers that authenticate the operator."""
    if not token_file:
        return {}
    token = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    return {"authorization": f"Bearer {token}"}


def build_transport(parsed: argparse.Namespace) -> Any:
    """Return the transport to the operators' interface; raises ValueError."""
    settings = {
        name: getattr(parsed, name.replace("-", "_")) or None for name in FLEET_TLS
    }
    findings = check_tls_files(settings, FLEET_TLS)
    if findings:
        raise ValueError(format_findings(findings))
    return load_transport(settings, FLEET_TLS)


@inlineCallbacks
def _run(
    reactor: Any,
    parsed: argparse.Namespace,
    command: Command,
    addresses: Sequence[tuple[str, int]],
    headers: dict[str, str],
    call: OperatorCall | None,
    transport: Any,
) -> Generator[Deferred[Any], Any, None]:
    client = HttpClient(reactor, transport=transport)
    while call is not None:
        if call.body is not None:
            audit = {"operator": parsed.operator, "cause": parsed.cause}
            call = call._replace(body={**call.body, **audit})
        outcome = yield send_call(client, addresses, headers, call)
        if not isinstance(outcome, Done) or outcome.status != 200:
            yield client.close()
            error = build_error(outcome, call)
            text = json.dumps({"error": error}) if parsed.json else format_error(error)
            (sys.stdout if parsed.json else sys.stderr).write(text + "\n")
            sys.exit(EXIT_FAILED)
        answer = json.loads(outcome.body)
        text = json.dumps(answer) if parsed.json else command.format_answer(answer)
        if text:
            sys.stdout.write(text + "\n")
            sys.stdout.flush()
        call = command.next_call(parsed, answer)
        if call is not None and answer.get("at_tip"):
            yield task.deferLater(reactor, FOLLOW_INTERVAL_SECONDS)
    yield client.close()
