"""Choice of the route and the service of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.routes._route import Route
    from wisteriagw.routes._routing_table import RoutingTable


def index_routes(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return routes by host, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda route: -len(route.path_prefix)))
        for host, found in hosts.items()
    }


def match_route(table: RoutingTable, host: str, path: str) -> Route | None:
    """Return the route with the longest prefix of a path, or None."""
    for route in table.routes.get(host, ()):
        if path.startswith(route.path_prefix):
            return route
    return None


def choose_service(route: Route, draw: float) -> str:
    """Return the service that a draw between 0 and 1 selects by weight."""
    total = sum(weight for _, weight in route.targets)
    left = draw * total
    chosen = route.targets[-1][0]
    for service, weight in route.targets:
        if weight <= 0:
            continue
        chosen = service
        left -= weight
        if left < 0:
            break
    return chosen
