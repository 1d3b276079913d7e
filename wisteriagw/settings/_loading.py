"""Loading of a program's settings from flags and environment variables."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import configargparse

from wisteriagw import __version__
from wisteriagw.findings import Finding, format_findings
from wisteriagw.settings._parsing import parse_value

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from wisteriagw.settings._option import Option

EXIT_INVALID_SETTINGS = 2


def build_parser(
    program: str, description: str, options: Sequence[Option]
) -> configargparse.ArgumentParser:
    """Return the argument parser of a program.

    Values are kept as strings, so that all errors are reported and not only the first.
    """
    parser = configargparse.ArgumentParser(
        prog=program,
        description=description,
        add_config_file_help=False,
        allow_abbrev=False,
    )
    parser.add_argument("--version", action="version", version=__version__)
    for option in options:
        parser.add_argument(
            f"--{option.name}",
            env_var=get_variable_name(option.name),
            default=None,
            metavar=type(option.kind).__name__.removesuffix("Kind").upper(),
            help=option.help + _describe_default(option),
        )
    return parser


def get_variable_name(name: str) -> str:
    """Return the name of a setting's environment variable."""
    return "WISTERIAGW_" + name.replace("-", "_").upper()


def check_settings(
    options: Sequence[Option], texts: Mapping[str, str | None]
) -> tuple[dict[str, Any], list[Finding]]:
    """Return the valid values by name and the findings of all settings."""
    values: dict[str, Any] = {}
    findings: list[Finding] = []
    for option in options:
        place = f"--{option.name} ({get_variable_name(option.name)})"
        text = texts.get(option.name)
        if text is None:
            text = option.default
        if text is None:
            findings.append(Finding(place, "must be given"))
            continue
        if text == "":
            values[option.name] = None
            continue
        try:
            values[option.name] = parse_value(option.kind, text)
        except ValueError as error:
            findings.append(Finding(place, str(error)))
    return values, findings


def load_settings(
    program: str,
    description: str,
    options: Sequence[Option],
    arguments: Sequence[str] | None = None,
    checks: Sequence[Callable[[dict[str, Any]], list[Finding]]] = (),
) -> dict[str, Any]:
    """Return the valid settings, or print every finding and exit with status 2.

    Each of ``checks`` is called with the values of the settings without a finding.
    """
    parser = build_parser(program, description, options)
    namespace = parser.parse_args(arguments)
    texts = {
        option.name: getattr(namespace, option.name.replace("-", "_"))
        for option in options
    }
    values, findings = check_settings(options, texts)
    for check in checks:
        findings.extend(check(values))
    if findings:
        sys.stderr.write(format_findings(findings) + "\n")
        sys.exit(EXIT_INVALID_SETTINGS)
    return values


def _describe_default(option: Option) -> str:
    if option.default is None:
        return " Must be given."
    if option.default == "":
        return ""
    # argparse formats help texts with %, so a literal % is doubled.
    return f" Default: {option.default}.".replace("%", "%%")
