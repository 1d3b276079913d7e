"""Decisions about repeating a request after an attempt at a backend server."""

from __future__ import annotations

from wisteriagw.retries._attempts import Attempts, record_attempt
from wisteriagw.retries._decision import decide_retry
from wisteriagw.retries._retry_budget import (
    RetryBudget,
    build_budget,
    count_request,
    refill,
    take_retry,
)
from wisteriagw.retries._retry_decision import RetryDecision

__all__ = [
    "Attempts",
    "RetryBudget",
    "RetryDecision",
    "build_budget",
    "count_request",
    "decide_retry",
    "record_attempt",
    "refill",
    "take_retry",
]
