"""Meter of the work that customers receive, relative to their shares."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

# Long enough to average a customer's bursts, short compared to a flood of minutes.
DECAY_SECONDS = 10.0
# A customer at its share exceeds it for short moments; the margin tolerates these.
OVER_SHARE_FACTOR = 1.3
DEFAULT_WEIGHT = 1.0


class ShareMeter:
    """Exponentially decaying work per customer, of all entry VMs."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        self._total_weight = 0.0
        self._work: dict[str, float] = {}
        self._total = 0.0
        self._at = -math.inf

    def add(self, customer: str, work: float, now: float) -> None:
        """Add work that was served to a customer."""
        self._decay(now)
        self._work[customer] = self._work.get(customer, 0.0) + work
        self._total += work

    def is_over_share(self, customer: str) -> bool:
        """Return whether a customer receives clearly more than its share."""
        if not self._total_weight or self._total <= 0.0:
            return False
        weight = self._weights.get(customer, DEFAULT_WEIGHT)
        share = self._total * weight / self._total_weight
        return self._work.get(customer, 0.0) > OVER_SHARE_FACTOR * share

    def _decay(self, now: float) -> None:
        # Within a second the decay is too small to justify a pass over all customers.
        if now - self._at < 1.0:
            return
        factor = math.exp((self._at - now) / DECAY_SECONDS)
        self._at = now
        self._work = {name: factor * work for name, work in self._work.items()}
        self._total = sum(self._work.values())
        self._total_weight = sum(self._weights.values())
