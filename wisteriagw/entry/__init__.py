"""Entry program between callers and backend servers."""

from __future__ import annotations

from wisteriagw.entry._main import main
from wisteriagw.entry._options import OPTIONS

__all__ = ["OPTIONS", "main"]
