"""Generates the reference pages of settings and metrics from the code."""

from __future__ import annotations

import argparse
import os
import pathlib
import sys
from typing import TYPE_CHECKING

from wisteriagw.admin import build_parser
from wisteriagw.control import OPTIONS as CONTROL_OPTIONS
from wisteriagw.entry import OPTIONS as ENTRY_OPTIONS
from wisteriagw.reporter import OPTIONS as REPORTER_OPTIONS
from wisteriagw.settings import describe_kind, get_variable_name
from wisteriagw.standins import PROGRAM_OPTIONS as STANDIN_OPTIONS
from wisteriagw.telemetry import METRICS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from wisteriagw.settings import Option

DOCS = pathlib.Path(__file__).parent.parent / "docs"
NOTE = "This page is written by `make reference`; CI checks that it matches the code.\n"
PROGRAM_OPTIONS = {
    "wisteriagw-entry": ENTRY_OPTIONS,
    "wisteriagw-control": CONTROL_OPTIONS,
    "wisteriagw-usage": REPORTER_OPTIONS,
    **STANDIN_OPTIONS,
}


def build_settings_page() -> str:
    """Return the page of all flags and variables."""
    parts = ["# Settings\n", NOTE]
    for program, options in PROGRAM_OPTIONS.items():
        parts.append(f"## {program}\n")
        parts.append(build_option_table(options))
    parts.append("## wisteriagw-admin\n")
    parts.append("```\n" + build_parser().format_help() + "```\n")
    return "\n".join(parts)


def build_option_table(options: Sequence[Option]) -> str:
    """Return the table of a program's options."""
    lines = [
        "| flag | variable | unit | default | bound | meaning |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for option in options:
        unit, bound = describe_kind(option.kind)
        default = "must be given" if option.default is None else option.default
        cells = (
            f"`--{option.name}`",
            f"`{get_variable_name(option.name)}`",
            unit,
            default or "none",
            bound,
            option.help,
        )
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def build_metrics_page() -> str:
    """Return the page of all metrics."""
    lines = [
        "# Metrics\n",
        NOTE,
        "Names have the prefix `wisteriagw.{program}.{vm}`.\n",
        "| name | kind | unit | meaning |",
        "| --- | --- | --- | --- |",
    ]
    for metric in METRICS:
        cells = (f"`{metric.name}`", metric.kind, metric.unit, metric.help)
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def main() -> None:
    """Write the pages, or check that they are up to date."""
    # argparse wraps help texts at the terminal width.
    os.environ["COLUMNS"] = "80"
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    pages = {
        DOCS / "settings.md": build_settings_page(),
        DOCS / "metrics.md": build_metrics_page(),
    }
    stale = []
    for path, text in pages.items():
        if path.exists() and path.read_text() == text:
            continue
        stale.append(path.name)
        if not arguments.check:
            path.write_text(text)
    if arguments.check and stale:
        sys.exit(f"docs/{', docs/'.join(stale)} do not match; run make reference")


if __name__ == "__main__":
    main()
