"""Command-line tool for operators."""

from __future__ import annotations

from wisteriagw.admin._main import build_parser, main

__all__ = ["build_parser", "main"]
