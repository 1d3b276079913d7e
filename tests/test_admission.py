"""Tests of routes and the admission of requests."""

from __future__ import annotations

import pytest

from wisteriagw.routes import (
    Admitted,
    Customer,
    Route,
    RoutingTable,
    Service,
    choose_service,
    decide_admission,
    index_routes,
    match_route,
)


def build_route(name: str, prefix: str, *, open_to_all: bool = False, targets=None):
    """Return a route of the host ``a.example``."""
    return Route(
        name=name,
        host="a.example",
        path_prefix=prefix,
        streaming=False,
        repeatable=True,
        resumable=False,
        timeout=1.0,
        target_seconds=0.2,
        priority=1,
        max_attempts=2,
        open=open_to_all,
        targets=targets or (("desk", 1.0),),
    )


TABLE = RoutingTable(
    version=3,
    routes=index_routes(
        [
            build_route("short", "/a/"),
            build_route("long", "/a/b/"),
            build_route("open", "/open/", open_to_all=True),
            build_route("lost", "/lost/", targets=(("gone", 1.0),)),
        ]
    ),
    services={"desk": Service("desk", 100)},
    customers={"k1": Customer("t-1")},
)


class TestMatching:
    """A request must not be routed to the service of a shorter prefix."""

    @pytest.mark.parametrize(
        ("path", "name"),
        [("/a/x", "short"), ("/a/b/x", "long"), ("/a/b", "short"), ("/c/", None)],
    )
    def test_longest_prefix_wins(self, path: str, name) -> None:
        route = match_route(TABLE, "a.example", path)
        assert (route.name if route else None) == name

    def test_other_host_has_no_route(self) -> None:
        assert match_route(TABLE, "b.example", "/a/x") is None

    @pytest.mark.parametrize(
        ("draw", "service"), [(0.0, "x"), (0.89, "x"), (0.91, "y"), (1.0, "y")]
    )
    def test_split_route_follows_the_weights(self, draw: float, service: str) -> None:
        route = build_route("r", "/", targets=(("x", 90.0), ("y", 10.0), ("z", 0.0)))
        assert choose_service(route, draw) == service


class TestAdmission:
    """A withdrawn key must not be admitted, nor a request denied on stale data."""

    @pytest.mark.parametrize(
        ("fresh", "path", "key", "status"),
        [
            (True, "/a/x", "k1", 0),
            (True, "/a/x", "k2", 401),
            (True, "/a/x", None, 401),
            (True, "/c/", "k1", 404),
            (True, "/lost/x", "k1", 404),
            (False, "/a/x", "k1", 503),
            (False, "/a/x", "k2", 503),
            (False, "/c/", "k1", 503),
            (False, "/lost/x", "k1", 503),
            (False, "/open/x", None, 0),
        ],
    )
    def test_by_freshness_and_key(self, fresh, path, key, status) -> None:
        decision = decide_admission(TABLE, fresh, "a.example", path, key, 0.5)
        found = 0 if isinstance(decision, Admitted) else decision.status
        assert found == status

    def test_without_a_configuration_requests_get_a_temporary_error(self) -> None:
        decision = decide_admission(None, True, "a.example", "/a/x", "k1", 0.5)
        assert decision.status == 503

    def test_open_route_has_no_customer(self) -> None:
        decision = decide_admission(TABLE, True, "a.example", "/open/x", "k1", 0.5)
        assert decision.customer is None
