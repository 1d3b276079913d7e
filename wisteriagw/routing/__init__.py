"""Choice of the backend server for a request."""

from __future__ import annotations

from wisteriagw.routing._alternative import Alternative
from wisteriagw.routing._backend_view import BackendView
from wisteriagw.routing._blocks import hash_blocks
from wisteriagw.routing._cache_event import CacheEvent
from wisteriagw.routing._choice import (
    MISSES_DEADLINE,
    PREFIX_BLOCK_TOKENS,
    WEIGHT_LOAD_SECONDS,
    choose_backend_server,
)
from wisteriagw.routing._load_report import LoadReport
from wisteriagw.routing._load_table import LoadTable
from wisteriagw.routing._peer_load import PeerLoad
from wisteriagw.routing._prefix_index import PrefixIndex
from wisteriagw.routing._role_profile import RoleProfile, compute_prefill_rate
from wisteriagw.routing._route_request import RouteRequest
from wisteriagw.routing._routing_decision import RoutingDecision
from wisteriagw.routing._server_load import ServerLoad
from wisteriagw.routing._tokens import estimate_tokens
from wisteriagw.routing._weight_load_budget import (
    WeightLoadBudget,
    estimate_load_wait,
    reserve_load,
)

__all__ = [
    "WEIGHT_LOAD_SECONDS",
    "PREFIX_BLOCK_TOKENS",
    "MISSES_DEADLINE",
    "Alternative",
    "BackendView",
    "CacheEvent",
    "LoadReport",
    "LoadTable",
    "PeerLoad",
    "PrefixIndex",
    "RoleProfile",
    "RouteRequest",
    "RoutingDecision",
    "ServerLoad",
    "WeightLoadBudget",
    "choose_backend_server",
    "compute_prefill_rate",
    "estimate_load_wait",
    "estimate_tokens",
    "hash_blocks",
    "reserve_load",
]
