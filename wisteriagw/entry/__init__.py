"""Entry program between callers and backend servers."""

from __future__ import annotations

from wisteriagw.entry._main import main

__all__ = ["main"]
