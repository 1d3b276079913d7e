"""Smoothed rates of the demand for each model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.roles._demand import Demand, smooth_demand

if TYPE_CHECKING:
    from collections.abc import Mapping

# Tokens per second; a model whose rates decay below this is removed.
MIN_RATE = 0.01


class DemandMeter:
    """Smoothed rates by model; reading them changes nothing."""

    def __init__(self, now: float) -> None:
        self.demands: dict[str, Demand] = {}
        self._sampled_at = now

    def sample(self, tokens: Mapping[str, tuple[float, float]], now: float) -> None:
        """Apply the prefill and decode tokens requested since the last sample."""
        seconds = now - self._sampled_at
        if seconds <= 0.0:
            return
        self._sampled_at = now
        for model in {*self.demands, *tokens}:
            prefill, decode = tokens.get(model, (0.0, 0.0))
            # The first sample is smoothed from zero: one prompt is not a high rate.
            known = self.demands.get(model) or Demand(at=now - seconds)
            demand = smooth_demand(known, prefill / seconds, decode / seconds, now)
            self.demands[model] = demand
            if max(demand[:2]) < MIN_RATE:
                del self.demands[model]
