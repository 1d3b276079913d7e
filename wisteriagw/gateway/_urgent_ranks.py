"""Urgent ranks of the services in the configuration in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.routes import find_rank, find_urgent_rank

if TYPE_CHECKING:
    from wisteriagw.routes import Customer, Route, RoutingTable, Service


class UrgentRanks:
    """Finds urgent requests; a service's ranks are compared once per configuration."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._ranks: dict[str, int | None] = {}

    def is_urgent(
        self,
        table: RoutingTable | None,
        service: Service,
        route: Route,
        customer: Customer | None,
    ) -> bool:
        """Return whether a request overtakes others at the engines of its service."""
        if service.engine is None or table is None:
            return False
        if table is not self._table:
            self._table, self._ranks = table, {}
        if service.name not in self._ranks:
            self._ranks[service.name] = find_urgent_rank(table, service.name)
        urgent_rank = self._ranks[service.name]
        return urgent_rank is not None and find_rank(route, customer) <= urgent_rank
