"""Decisions to retry a request after an attempt at a backend server."""

from __future__ import annotations

from wisteriagw.retries._attempts import (
    MAX_LOST_SERVERS,
    Attempts,
    record_attempt,
    record_cancelled,
)
from wisteriagw.retries._decision import decide_retry
from wisteriagw.retries._retry_budget import (
    RetryBudget,
    build_budget,
    consume_retry,
    count_request,
    refill,
)
from wisteriagw.retries._retry_decision import RetryDecision
from wisteriagw.retries._retry_terms import RetryTerms
from wisteriagw.retries._retry_window import RetryWindow
from wisteriagw.retries._stream_decision import decide_stream_step
from wisteriagw.retries._stream_loss import StreamLoss
from wisteriagw.retries._stream_step import StreamStep

__all__ = [
    "MAX_LOST_SERVERS",
    "Attempts",
    "RetryBudget",
    "RetryDecision",
    "RetryTerms",
    "RetryWindow",
    "StreamLoss",
    "StreamStep",
    "build_budget",
    "consume_retry",
    "count_request",
    "decide_retry",
    "decide_stream_step",
    "record_attempt",
    "record_cancelled",
    "refill",
]
