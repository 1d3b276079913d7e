"""One version of the configuration, indexed for requests."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.routes._caller_limits import CallerLimits

if TYPE_CHECKING:
    from wisteriagw.routes._customer import Customer
    from wisteriagw.routes._route import Route
    from wisteriagw.routes._service import Service


class RoutingTable(NamedTuple):
    """Configuration in force.

    Attributes
    ----------
    version : int
        Versions increase; a lower one never replaces a higher one.
    routes : dict of str to tuple of Route
        Routes by host, longest prefix first.
    services : dict of str to Service
        Services by name.
    customers : dict of str to Customer or None
        Customers by key; None if requests carry no keys.
    limits : CallerLimits
        Limits on callers.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    customers: dict[str, Customer] | None
    limits: CallerLimits = CallerLimits()
