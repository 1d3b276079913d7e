"""Estimated prefill speeds of the engines by service."""

from __future__ import annotations

from wisteriagw.placement import EngineRates, update_rates, update_stream_seconds


class EngineRateTable:
    """Keeps the estimated prefill speed of each service's engines."""

    def __init__(self) -> None:
        self._rates: dict[str, EngineRates] = {}

    def get(self, service: str) -> EngineRates:
        """Return the estimated speed of a service's engines."""
        return self._rates.get(service) or EngineRates()

    def add_sample(self, service: str, tokens: float, seconds: float) -> None:
        """Update the estimate from the seconds that prefill of some tokens took.

        Tokens are counted at prefill speed.
        """
        self._rates[service] = update_rates(self.get(service), tokens, seconds)

    def add_stream(self, service: str, seconds: float) -> None:
        """Update the estimate from the seconds that a stream ran after its start."""
        self._rates[service] = update_stream_seconds(self.get(service), seconds)
