"""Routes, services and customers of the configuration in force."""

from __future__ import annotations

from wisteriagw.routes._admission import decide_admission
from wisteriagw.routes._admitted import Admitted
from wisteriagw.routes._caller_limits import CallerLimits
from wisteriagw.routes._customer import Customer
from wisteriagw.routes._denied import Denied
from wisteriagw.routes._engine_traits import EngineTraits
from wisteriagw.routes._matching import choose_service, index_routes, match_route
from wisteriagw.routes._route import Route
from wisteriagw.routes._routing_table import RoutingTable
from wisteriagw.routes._scaling_terms import ScalingTerms
from wisteriagw.routes._service import Service
from wisteriagw.routes._stop_admission import Stop, can_end_before_exit
from wisteriagw.routes._urgent_rank import find_rank, find_urgent_rank

__all__ = [
    "Admitted",
    "CallerLimits",
    "Customer",
    "Denied",
    "EngineTraits",
    "Route",
    "RoutingTable",
    "ScalingTerms",
    "Service",
    "Stop",
    "can_end_before_exit",
    "choose_service",
    "decide_admission",
    "find_rank",
    "find_urgent_rank",
    "index_routes",
    "match_route",
]
