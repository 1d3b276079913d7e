"""Operators' command."""

from __future__ import annotations

from wisteriagw.admin._main import main

__all__ = ["main"]
