"""The ranks of a service's requests that count as urgent."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routes._customer import Customer
    from wisteriagw.routes._route import Route
    from wisteriagw.routes._routing_table import RoutingTable


def find_rank(route: Route, customer: Customer | None) -> int:
    """Return the rank of a request; engines admit lower ones first."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def find_urgent_rank(table: RoutingTable, service: str) -> int | None:
    """Return the highest rank that is urgent, or None if all ranks are equal.

    Load: a service runs requests of several ranks, and the most urgent overtake the
    others at its engines. Urgent are the most urgent route and what is above it. If no
    request ranks below that route, customers alone set the ranks, and the most urgent
    one of them counts.
    """
    of_routes = {
        route.priority
        for routes in table.routes.values()
        for route in routes
        if any(target == service for target, _ in route.targets)
    }
    if not of_routes:
        return None
    of_customers = {
        customer.priority
        for customer in (table.customers or {}).values()
        if customer.priority is not None
    }
    ranks = of_routes | of_customers
    most_urgent, lowest = min(of_routes), max(ranks)
    if most_urgent < lowest:
        return most_urgent
    return min(ranks) if min(ranks) < lowest else None
