"""Cost of the backend servers."""

from __future__ import annotations

from typing import Any

RECLAIMABLE_PRICE = 0.35
DEPENDABLE_PRICE = 1.0


class FleetCost:
    """Cost of server seconds; a server is billed from its order to its end."""

    def __init__(self) -> None:
        self.cost = 0.0
        self._open: dict[str, tuple[float, float]] = {}

    def start_billing(self, server: Any, now: float) -> None:
        """Start the billing of a server."""
        price = RECLAIMABLE_PRICE if server.reclaimable else DEPENDABLE_PRICE
        self._open[server.name] = (now, price)

    def stop_billing(self, name: str, now: float) -> None:
        """Stop the billing of a server and add its cost."""
        start, price = self._open.pop(name, (now, 0.0))
        self.cost += (now - start) * price

    def close(self, now: float) -> None:
        """Stop the billing of all servers at the end of the scenario."""
        for name in list(self._open):
            self.stop_billing(name, now)

    def compute_rate(self) -> float:
        """Return the cost per second of the servers that are billed."""
        return sum(price for _, price in self._open.values())
