"""Dispatcher of the baseline policies."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from wisteriagw.dispatch import Dispatched
from wisteriagw.fairness import Refusal
from wisteriagw.routing import RoutingDecision

if TYPE_CHECKING:
    from collections.abc import Mapping

    from wisteriagw.routing import CacheEvent, LoadTable, RouteRequest


class BaselineDispatcher:
    """Dispatches each request at once, by round-robin or by least requests."""

    def __init__(self, table: LoadTable, rule: str) -> None:
        self.table = table
        self.rule = rule
        self.decision_count = 0
        self.index = self
        self._round_robin_position = 0
        self._outstanding: Counter[str] = Counter()
        self._servers: dict[str, str] = {}
        self._queued: list[tuple[str, RouteRequest]] = []

    def submit(
        self, handle: str, request: RouteRequest, deadline: float, now: float
    ) -> Refusal | None:
        """Queue a request; baselines never refuse one early."""
        self._queued.append((handle, request))
        return None

    def dispatch_queued(self, now: float) -> list[Dispatched | Refusal]:
        """Return all requests with their backend servers."""
        results: list[Dispatched | Refusal] = []
        queued, self._queued = self._queued, []
        for handle, request in queued:
            self.decision_count += 1
            names = [
                view.name
                for view in self.table.views.values()
                if view.serves == request.serves
                and not view.leaving
                and view.name not in request.excluded
                and (request.repeatable or not view.reclaimable)
            ]
            if not names:
                results.append(Refusal(handle, "no_backend_server", "none"))
                continue
            self._round_robin_position += 1
            name = names[self._round_robin_position % len(names)]
            if self.rule == "least-requests":
                name = min(names, key=lambda name: self._outstanding[name])
            self._outstanding[name] += 1
            self._servers[handle] = name
            results.append(Dispatched(handle, RoutingDecision(name, ())))
        return results

    def record_first_token(self, handle: str, now: float) -> None:
        """Ignore the event."""

    def record_end(self, handle: str, generated_tokens: int, now: float) -> None:
        """Remove a request from the outstanding ones."""
        name = self._servers.pop(handle, None)
        if name is not None:
            self._outstanding[name] -= 1

    def apply(self, event: CacheEvent) -> None:
        """Ignore the event: baselines do not use the prefix caches."""

    def remove_server(self, backend_server: str) -> None:
        """Ignore the removal: the load table holds the servers."""

    def apply_served_work(
        self, served: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Ignore the served work: baselines have no fair sharing."""

    def pop_served_work(self) -> dict[str, dict[str, float]]:
        """Return no served work."""
        return {}

    def pop_demand(self) -> tuple[float, float]:
        """Return zero demand for prefill and decode."""
        return 0.0, 0.0

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return len(self._queued)
