"""Decision on the next steps of a usage reporter."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.usage._fold import build_rows
from wisteriagw.usage._record_figures import RecordFigures
from wisteriagw.usage._seal_windows import SealWindows
from wisteriagw.usage._send_report import SendReport

if TYPE_CHECKING:
    from wisteriagw.usage._usage_state import UsageState

# Bounds the work of one cycle after a long outage of the log or the usage interface.
MAX_REPORTS_PER_CYCLE = 50

ReportingStep = SealWindows | RecordFigures | SendReport


def decide_reporting_steps(
    state: UsageState, closable_window: int
) -> list[ReportingStep]:
    """Return the steps that are due, oldest window first.

    Figures are only sent from ``state.recorded``: they are in the log before the first
    attempt, so every attempt by any process sends the same.
    """
    steps: list[ReportingStep] = []
    if state.sealed_window < closable_window:
        steps.append(SealWindows(closable_window))
    windows = {key.window for key in state.totals if key.window <= state.sealed_window}
    for window in sorted(windows):
        if window not in state.recorded:
            steps.append(RecordFigures(window, build_rows(state, window)))
    for window in sorted(state.recorded):
        steps.extend(_list_reports(state, window))
    return steps[: MAX_REPORTS_PER_CYCLE + 2]


def _list_reports(state: UsageState, window: int) -> list[ReportingStep]:
    rows = state.recorded[window]
    reported = state.reported.get(window, set())
    reports: list[ReportingStep] = []
    for customer in sorted({row[0] for row in rows}):
        if customer in reported:
            continue
        customer_rows = [row for row in rows if row[0] == customer]
        reports.append(SendReport(window, customer, customer_rows))
    return reports
