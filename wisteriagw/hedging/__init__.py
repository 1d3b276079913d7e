"""Decisions to send a second attempt of a slow idempotent request."""

from __future__ import annotations

from wisteriagw.hedging._decision import HedgeDecision, decide_hedge
from wisteriagw.hedging._delay import find_race_seconds
from wisteriagw.hedging._eligibility import is_eligible
from wisteriagw.hedging._failing_centres import is_centre_failing
from wisteriagw.hedging._hedge_budget import HedgeBudget
from wisteriagw.hedging._hedge_state import HedgeState
from wisteriagw.hedging._latency_table import LatencyTable
from wisteriagw.hedging._limit import MAX_LIMIT_PERCENT, parse_limit
from wisteriagw.hedging._quantiles import Quantiles, compute_quantiles

__all__ = [
    "MAX_LIMIT_PERCENT",
    "HedgeBudget",
    "HedgeDecision",
    "HedgeState",
    "LatencyTable",
    "Quantiles",
    "compute_quantiles",
    "decide_hedge",
    "find_race_seconds",
    "is_centre_failing",
    "is_eligible",
    "parse_limit",
]
