"""Policy benchmark on simulated servers in virtual time."""

from __future__ import annotations

from wisteriagw.measure._main import main

__all__ = ["main"]
