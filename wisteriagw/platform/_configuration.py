"""Decoding of the operator's configuration."""

from __future__ import annotations

from typing import Any

from wisteriagw.findings import Finding
from wisteriagw.jsondata import DECODE_ERRORS, load_json
from wisteriagw.quotas import CustomerQuota
from wisteriagw.routes import (
    CallerLimits,
    Customer,
    EngineTraits,
    Route,
    RoutingTable,
    ScalingTerms,
    Service,
    index_routes,
)

PLACE = "configuration"
INFINITY = float("inf")


def decode_configuration(data: bytes) -> RoutingTable | Finding:
    """Decode the routing table from a record, or return why it is invalid."""
    try:
        fields = load_json(data)
        return RoutingTable(
            version=int(fields["version"]),
            routes=index_routes(decode_route(route) for route in fields["routes"]),
            services={
                service["name"]: decode_service(service)
                for service in fields["services"]
            },
            customers=decode_customers(fields.get("tenants")),
            limits=decode_limits(fields.get("limits") or {}),
        )
    except DECODE_ERRORS as error:
        return Finding(PLACE, f"invalid: {type(error).__name__}: {error}")


def decode_route(fields: dict[str, Any]) -> Route:
    """Decode a route."""
    kind = fields["kind"]
    resumable = bool(fields.get("can_resume", False))
    split = fields.get("split") or ()
    targets = tuple((part["service"], float(part["weight"])) for part in split)
    return Route(
        name=str(fields["name"]),
        host=fields["host"],
        path_prefix=fields["path_prefix"],
        streaming=kind == "stream",
        repeatable=kind == "safe" or (kind == "stream" and resumable),
        resumable=kind == "stream" and resumable,
        timeout=fields["timeout_ms"] / 1000,
        target_seconds=fields.get("slo_ms", fields["timeout_ms"]) / 1000,
        priority=int(fields.get("priority", 5)),
        max_attempts=int(fields.get("max_attempts", 1)),
        # "public" means that requests on this route carry no key.
        open=bool(fields.get("public", False)),
        targets=targets or ((fields["service"], 1.0),),
        gap_seconds=fields.get("gap_target_ms", 0) / 1000,
    )


def decode_service(fields: dict[str, Any]) -> Service:
    """Decode a service."""
    engine = fields.get("engine")
    scaling = fields.get("autoscale")
    return Service(
        name=fields["name"],
        max_connections=int(fields["max_conns"]),
        engine=None if engine is None else decode_engine(engine),
        scaling=None if scaling is None else decode_scaling(scaling),
    )


def decode_engine(fields: dict[str, Any]) -> EngineTraits:
    """Decode the properties of a service's engines."""
    return EngineTraits(
        slots=int(fields["slots"]),
        capacity_tokens=int(fields["kv_capacity"]),
        token_bytes=int(fields.get("kv_token_bytes", 0)),
        link_mbps=float(fields.get("link_mbps", 0.0)),
        handle_ttl=float(fields.get("kv_ttl_s", 0.0)),
        stage_switch_seconds=float(fields.get("stage_switch_s", 0.0)),
        # "replicas" are copies of the KV cache of running requests.
        keeps_backups=bool(fields.get("replicas", False)),
        moves_runs=bool(fields.get("migrations", False)),
    )


def decode_scaling(fields: dict[str, Any]) -> ScalingTerms:
    """Decode the scaling limits and prices of a service."""
    return ScalingTerms(
        min_servers=int(fields["min"]),
        max_servers=int(fields["max"]),
        startup_seconds=float(fields.get("startup_s", 0.0)),
        # "spot" servers are the reclaimable ones.
        reclaimable_price=float(fields.get("spot_price", 0.0)),
        prices=tuple(fields["zone_prices"].items()),
    )


def decode_customers(rows: Any) -> dict[str, Customer] | None:
    """Return customers by key, or None if requests carry no keys."""
    if rows is None:
        return None
    customers: dict[str, Customer] = {}
    for row in rows:
        priority = row.get("priority")
        customer = Customer(
            row["name"],
            None if priority is None else int(priority),
            decode_quota(row),
        )
        for key in row["api_keys"]:
            customers[key] = customer
    return customers


def decode_quota(fields: dict[str, Any]) -> CustomerQuota | None:
    """Decode the quota of a customer, or return None if the customer has none."""
    rate = float(fields.get("rate_per_s") or 0.0)
    quota = CustomerQuota(
        rate=rate,
        burst=float(fields.get("burst") or 0.0),
        in_tokens=fields.get("unit") == "tokens",
        uncached_tokens=float(fields.get("uncached_tokens") or 0.0),
    )
    if not (0 <= rate < INFINITY and quota.burst >= 0 and quota.uncached_tokens >= 0):
        raise ValueError("a quota must consist of finite numbers that are not negative")
    return quota if rate else None


def decode_limits(fields: dict[str, Any]) -> CallerLimits:
    """Decode the limits on callers, with defaults for those not given."""
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(fields.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(fields.get("max_body_bytes", default.max_body_bytes)),
        header_timeout=fields.get("header_timeout_ms", default.header_timeout * 1000)
        / 1000,
        idle_timeout=fields.get("idle_timeout_ms", default.idle_timeout * 1000) / 1000,
    )
