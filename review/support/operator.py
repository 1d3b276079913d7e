"""Configuration that the operator writes before traffic starts."""

from __future__ import annotations

from typing import Any

HOST = "ficu95.example"
TENANTS = ("huka270", "puhu251")
KEYS = {name: f"key-of-{name}" for name in TENANTS}
ENGINE = {
    "slots": 64,
    "kv_capacity": 504494,
    "kv_token_bytes": 18432,
    "link_mbps": 370000.0,
    "migrations": True,
    "replicas": True,
    "stride": 6,
    "most": 12,
    "kv_ttl_s": 5.0,
    "stage_switch_s": 3.0,
    "pin_ms": 4000.0,
    "max_hold_ms": 2000.0,
    "models": [{"name": "m"}],
}


def build_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route with the figures of the site for its kind of request."""
    route = {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000 if kind == "stream" else 1000,
        "slo_ms": 600 if kind == "stream" else 200,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "public": False,
        "sticky": kind == "stream",
        "can_resume": False,
    }
    if kind == "stream":
        route["gap_target_ms"] = 200
    return {**route, **fields}


def build_configuration(
    routes: list[dict[str, Any]], engines: tuple[str, ...] = ()
) -> dict[str, Any]:
    """Return a configuration; the services in ``engines`` are model services."""
    services = []
    for name in sorted({route["service"] for route in routes}):
        service: dict[str, Any] = {
            "name": name,
            "health_path": "/health",
            "max_conns": 360,
            "protocol": "h1",
            "tls": False,
        }
        if name in engines:
            service["engine"] = ENGINE
        services.append(service)
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": [key], "priority": 1}
            for name, key in KEYS.items()
        ],
    }
