"""Step of a usage reporter: send a report."""

from __future__ import annotations

from typing import Any, NamedTuple


class SendReport(NamedTuple):
    """Send a customer's recorded figures of a window to the usage interface."""

    window: int
    customer: str
    rows: list[list[Any]]
