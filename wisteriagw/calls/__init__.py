"""Calls that run at most once: claims, their fold and the batchers."""

from __future__ import annotations

from wisteriagw.calls._at_most_once_executor import (
    MAX_CLAIM_AGE_SECONDS,
    AtMostOnceExecutor,
    build_claim,
)
from wisteriagw.calls._calls_state import CallsState, build_empty_calls
from wisteriagw.calls._claim_appender import ClaimAppender
from wisteriagw.calls._claim_conflict import ClaimConflict
from wisteriagw.calls._claim_decision import covers_validity_period, decide_claim
from wisteriagw.calls._claim_expired import ClaimExpired
from wisteriagw.calls._claim_lost import ClaimLost
from wisteriagw.calls._claim_unavailable import ClaimUnavailable
from wisteriagw.calls._claim_won import ClaimWon
from wisteriagw.calls._fold import KEY_VALID_SECONDS, apply_call_record
from wisteriagw.calls._local_batcher import LocalBatcher
from wisteriagw.calls._partitions import PARTITIONS, find_partition, name_stream

__all__ = [
    "KEY_VALID_SECONDS",
    "MAX_CLAIM_AGE_SECONDS",
    "PARTITIONS",
    "AtMostOnceExecutor",
    "CallsState",
    "ClaimAppender",
    "ClaimConflict",
    "ClaimExpired",
    "ClaimLost",
    "ClaimUnavailable",
    "ClaimWon",
    "LocalBatcher",
    "apply_call_record",
    "build_claim",
    "build_empty_calls",
    "covers_validity_period",
    "decide_claim",
    "find_partition",
    "name_stream",
]
