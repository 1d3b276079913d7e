"""Usage reporter."""

from __future__ import annotations

from wisteriagw.reporter._main import main
from wisteriagw.reporter._options import OPTIONS
from wisteriagw.reporter._reporter import Reporter

__all__ = ["OPTIONS", "Reporter", "main"]
