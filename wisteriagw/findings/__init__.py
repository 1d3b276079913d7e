"""Faults that are collected with their location and reported together."""

from __future__ import annotations

from wisteriagw.findings._finding import Finding
from wisteriagw.findings._formatting import format_findings

__all__ = ["Finding", "format_findings"]
