"""Usage reporter."""

from __future__ import annotations

from wisteriagw.reporter._reporter import Reporter

__all__ = ["Reporter"]
