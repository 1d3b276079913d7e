"""Choice of the backend server for a request."""

from __future__ import annotations

from wisteriagw.routing._alternative import Alternative
from wisteriagw.routing._backend_view import BackendView
from wisteriagw.routing._choice import choose_backend_server
from wisteriagw.routing._route_request import RouteRequest
from wisteriagw.routing._routing_decision import RoutingDecision
from wisteriagw.routing._tokens import estimate_tokens

__all__ = [
    "Alternative",
    "BackendView",
    "RouteRequest",
    "RoutingDecision",
    "choose_backend_server",
    "estimate_tokens",
]
