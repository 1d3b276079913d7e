"""Logs and metrics."""

from __future__ import annotations

from wisteriagw.telemetry._line_writer import LineWriter
from wisteriagw.telemetry._metric import Metric
from wisteriagw.telemetry._metric_table import METRICS
from wisteriagw.telemetry._metrics import GAUGE_INTERVAL_SECONDS, Metrics
from wisteriagw.telemetry._start import start_logging

__all__ = [
    "GAUGE_INTERVAL_SECONDS",
    "METRICS",
    "LineWriter",
    "Metric",
    "Metrics",
    "start_logging",
]
