"""Demand for each model, kept as smoothed rates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.roles._demand import Demand, smooth_demand

if TYPE_CHECKING:
    from collections.abc import Mapping

# Below this rate in tokens a second a model that nobody asks for is forgotten.
LEAST_RATE = 0.01


class DemandMeter:
    """Smoothed rates by model, which any number of askers may read."""

    def __init__(self, now: float) -> None:
        self.demands: dict[str, Demand] = {}
        self._sampled_at = now

    def sample(self, tokens: Mapping[str, tuple[float, float]], now: float) -> None:
        """Take the prefill and decode tokens asked for since the last sample."""
        seconds = now - self._sampled_at
        if seconds <= 0.0:
            return
        self._sampled_at = now
        for model in {*self.demands, *tokens}:
            prefill, decode = tokens.get(model, (0.0, 0.0))
            # A first sample counts from zero, so that one prompt is no high rate.
            known = self.demands.get(model) or Demand(at=now - seconds)
            demand = smooth_demand(known, prefill / seconds, decode / seconds, now)
            self.demands[model] = demand
            if max(demand[:2]) < LEAST_RATE:
                del self.demands[model]
