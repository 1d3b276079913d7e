"""Demand for prefill and decode."""

from __future__ import annotations

import math
from typing import NamedTuple

# Follows a mix that changes within minutes, but not a single long prompt.
SMOOTHING_SECONDS = 12.0


class Demand(NamedTuple):
    """Smoothed demand of all callers.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Uncached prompt tokens requested.
    decode_tokens_per_second : float
        Tokens to be generated.
    at : float
        Time of the last sample; minus infinity before the first.
    """

    prefill_tokens_per_second: float = 0.0
    decode_tokens_per_second: float = 0.0
    at: float = -math.inf


def smooth_demand(
    demand: Demand, prefill_rate: float, decode_rate: float, now: float
) -> Demand:
    """Return the demand after a sample of both rates; late samples are ignored."""
    if demand.at == -math.inf:
        return Demand(prefill_rate, decode_rate, now)
    if now <= demand.at:
        return demand
    factor = 1.0 - math.exp((demand.at - now) / SMOOTHING_SECONDS)
    prefill, decode = demand.prefill_tokens_per_second, demand.decode_tokens_per_second
    return Demand(
        prefill + factor * (prefill_rate - prefill),
        decode + factor * (decode_rate - decode),
        now,
    )
