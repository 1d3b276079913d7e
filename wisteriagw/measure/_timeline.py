"""Time series of a run."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.measure._simulation import Simulation


class Timeline:
    """Samples of queues, roles and cost, one per second, for the report."""

    def __init__(self) -> None:
        self.times: list[float] = []
        self.waiting: list[int] = []
        self.at_engines: list[int] = []
        self.prefill_engines: list[int] = []
        self.decode_engines: list[int] = []
        self.cost_rates: list[float] = []

    def sample(self, simulation: Simulation) -> None:
        """Record a sample of the current state."""
        servers = simulation.servers.values()
        self.times.append(simulation.events.now)
        waiting = sum(entry.dispatcher.count_waiting() for entry in simulation.entries)
        self.waiting.append(waiting)
        self.at_engines.append(
            sum(len(server.waiting) for server in servers if server.up)
        )
        roles = [server.role for server in servers if server.up and not server.leaving]
        self.prefill_engines.append(roles.count("prefill"))
        self.decode_engines.append(roles.count("decode"))
        self.cost_rates.append(simulation.fleet_cost.compute_rate())
