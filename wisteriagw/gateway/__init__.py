"""Gateway program: serves callers on one VM of the users' platform."""

from __future__ import annotations

from wisteriagw.gateway._main import main

__all__ = ["main"]
