"""Outcome of an invalid sheet."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.findings import Finding


@dataclass(frozen=True, slots=True)
class SheetRefused:
    """The sheet was not published because of its faults."""

    findings: tuple[Finding, ...]
