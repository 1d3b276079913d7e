"""Usage metering: counting, folding of the log, closing of windows, reporting."""

from __future__ import annotations

from wisteriagw.usage._checkpoint_codec import USAGE_CODEC
from wisteriagw.usage._fold import (
    NO_WINDOW,
    apply_usage_record,
    build_empty_usage,
    build_rows,
)
from wisteriagw.usage._partial_copies import PartialCopies
from wisteriagw.usage._record_figures import RecordFigures
from wisteriagw.usage._reporting import ReportingStep, decide_reporting_steps
from wisteriagw.usage._seal_windows import SealWindows
from wisteriagw.usage._send_report import SendReport
from wisteriagw.usage._state_codec import decode_usage_state, encode_usage_state
from wisteriagw.usage._usage_appender import USAGE_STREAM, append_partials
from wisteriagw.usage._usage_counter import MAX_PARTIAL_REQUESTS, UsageCounter
from wisteriagw.usage._usage_figures import UsageFigures
from wisteriagw.usage._usage_key import UsageKey
from wisteriagw.usage._usage_partial import UsagePartial
from wisteriagw.usage._usage_state import UsageState
from wisteriagw.usage._usage_trace import UsageTrace
from wisteriagw.usage._windows import (
    SEAL_GRACE_SECONDS,
    WINDOW_SECONDS,
    get_newest_closable_window,
    get_window,
)

__all__ = [
    "MAX_PARTIAL_REQUESTS",
    "NO_WINDOW",
    "SEAL_GRACE_SECONDS",
    "USAGE_CODEC",
    "USAGE_STREAM",
    "WINDOW_SECONDS",
    "PartialCopies",
    "RecordFigures",
    "ReportingStep",
    "SealWindows",
    "SendReport",
    "UsageCounter",
    "UsageFigures",
    "UsageKey",
    "UsagePartial",
    "UsageState",
    "UsageTrace",
    "append_partials",
    "apply_usage_record",
    "build_empty_usage",
    "build_rows",
    "decide_reporting_steps",
    "decode_usage_state",
    "encode_usage_state",
    "get_newest_closable_window",
    "get_window",
]
