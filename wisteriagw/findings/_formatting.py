"""Text form of findings."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.findings._finding import Finding


def format_findings(findings: Iterable[Finding]) -> str:
    """Return one line per finding, in the order given."""
    return "\n".join(f"{finding.place}: {finding.message}" for finding in findings)
