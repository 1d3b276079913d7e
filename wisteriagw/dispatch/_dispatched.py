"""Request that was placed on a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing import RoutingDecision


class Dispatched(NamedTuple):
    """A request to be sent now, and the routing decision."""

    handle: str
    decision: RoutingDecision
