"""Request that goes to a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.routing import RoutingDecision


class Dispatched(NamedTuple):
    """A request that is to be sent now, and the decision behind it."""

    handle: str
    decision: RoutingDecision
