"""Logs, metrics and audit trail."""

from __future__ import annotations

from wisteriagw.telemetry._line_writer import LineWriter
from wisteriagw.telemetry._start import start_logging

__all__ = ["LineWriter", "start_logging"]
