"""State of a VM about hedged requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.hedging import HedgeBudget, LatencyTable

if TYPE_CHECKING:
    from wisteriagw.hedging import Quantiles
    from wisteriagw.sums import SumTable

LATENCY_TABLE = "latency"
NEVER = float("-inf")


class Hedges:
    """Response times of all VMs, and what this VM may spend on hedges.

    Attributes
    ----------
    budget : HedgeBudget
        Extra server seconds of this VM.
    """

    def __init__(self, percent: float, window: float, sums: SumTable) -> None:
        self.budget = HedgeBudget(percent, window)
        self._latency = LatencyTable()
        self._sums = sums
        self._refused_at: dict[str, float] = {}
        sums.register(LATENCY_TABLE, self._latency.list_rows)

    def record_response(
        self, service: str, kind: str, seconds: float, now: float
    ) -> None:
        """Record the time until a response began."""
        self._latency.add(service, kind, seconds, now)

    def record_refusal(self, service: str, now: float) -> None:
        """Record that a queue or a server of a service refused a request."""
        self._refused_at[service] = now

    def get_refused_at(self, service: str) -> float:
        """Return the time of the last refusal of a service."""
        return self._refused_at.get(service, NEVER)

    def get_quantiles(self, service: str, kind: str, now: float) -> Quantiles | None:
        """Return the quantiles over all VMs, or None with too few responses."""
        if self._latency.needs_refresh(now):
            self._latency.merge(self._sums.get_others(LATENCY_TABLE, now), now)
        return self._latency.get_quantiles(service, kind)


def build_hedges(percent: float, window: float, sums: SumTable) -> Hedges | None:
    """Return the state for hedged requests, or None if the limit is 0."""
    return Hedges(percent, window, sums) if percent > 0.0 else None
