"""Fault: an operator drains a backend server."""

from __future__ import annotations

from typing import NamedTuple


class DrainFault(NamedTuple):
    """A backend server is drained and stopped, and restarts after ``seconds``."""

    index: int
    seconds: float = 40.0
