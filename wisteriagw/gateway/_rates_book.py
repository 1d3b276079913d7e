"""Learnt speeds of the engines by service."""

from __future__ import annotations

from wisteriagw.placement import EngineRates, update_rates


class RatesBook:
    """Keeps the learnt speed of each service's engines."""

    def __init__(self) -> None:
        self._rates: dict[str, EngineRates] = {}

    def get(self, service: str) -> EngineRates:
        """Return the speed of a service's engines."""
        return self._rates.get(service) or EngineRates()

    def learn(self, service: str, tokens: float, seconds: float) -> None:
        """Take the time that tokens, counted at prefill speed, took to be read."""
        self._rates[service] = update_rates(self.get(service), tokens, seconds)
