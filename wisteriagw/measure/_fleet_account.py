"""Money spent on backend servers."""

from __future__ import annotations

from typing import Any

CHEAP_PRICE = 0.35
DEPENDABLE_PRICE = 1.0


class FleetAccount:
    """Server seconds, paid from the order to the end."""

    def __init__(self) -> None:
        self.cost = 0.0
        self._open: dict[str, tuple[float, float]] = {}

    def open(self, server: Any, now: float) -> None:
        """Start to pay for a server."""
        price = CHEAP_PRICE if server.reclaimable else DEPENDABLE_PRICE
        self._open[server.name] = (now, price)

    def end(self, name: str, now: float) -> None:
        """Stop to pay for a server."""
        start, price = self._open.pop(name, (now, 0.0))
        self.cost += (now - start) * price

    def close(self, now: float) -> None:
        """Count what is open at the end of the scenario."""
        for name in list(self._open):
            self.end(name, now)

    def compute_rate(self) -> float:
        """Return the cost per second."""
        return sum(price for _, price in self._open.values())
