"""Runs of the operators' command."""

from __future__ import annotations

import subprocess
from typing import TYPE_CHECKING

from features.steps._programs import BIN

if TYPE_CHECKING:
    from features.steps._programs import Programs


def start_admin(
    programs: Programs, number: int, operator: str, *arguments: str
) -> subprocess.Popen:
    """Start the command against an entry VM."""
    return subprocess.Popen(
        [
            str(BIN / "wisteriagw-admin"),
            "--operator-address",
            programs.addresses[f"operators-{number}"],
            "--operator",
            operator,
            *arguments,
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def run_admin(
    programs: Programs, number: int, operator: str, *arguments: str
) -> tuple[int, str, str]:
    """Run the command; return its exit code, output and errors."""
    process = start_admin(programs, number, operator, *arguments)
    output, errors = process.communicate(timeout=60)
    return process.returncode, output, errors
