"""Choice of a backend server for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.routing._alternative import Alternative
from wisteriagw.routing._routing_decision import RoutingDecision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.routing._backend_view import BackendView
    from wisteriagw.routing._route_request import RouteRequest

PREFILL_TOKENS_PER_SECOND = 8000.0
SECONDS_PER_RUNNING_STREAM = 0.002


def choose_backend_server(
    request: RouteRequest, views: Iterable[BackendView], now: float
) -> RoutingDecision:
    """Return the backend server with the lowest estimated time to the first token."""
    best: BackendView | None = None
    best_seconds = float("inf")
    weighed: list[tuple[BackendView, float, str]] = []
    for view in views:
        reason = find_exclusion(request, view)
        if reason:
            weighed.append((view, float("inf"), reason))
            continue
        seconds = estimate_first_token_seconds(request, view)
        weighed.append((view, seconds, "slower"))
        if seconds < best_seconds:
            best, best_seconds = view, seconds
    alternatives = tuple(
        Alternative(view.name, seconds, "" if view is best else reason)
        for view, seconds, reason in weighed
    )
    return RoutingDecision(best.name if best else None, alternatives)


def find_exclusion(request: RouteRequest, view: BackendView) -> str:
    """Return why a backend server cannot take a request, or an empty text."""
    if view.serves != request.serves:
        return "serves something else"
    if view.leaving:
        return "leaving"
    if view.name in request.excluded:
        return "failed this request before"
    if view.reclaimable and not request.repeatable:
        return "reclaimable, and the request may not be repeated"
    return ""


def estimate_first_token_seconds(request: RouteRequest, view: BackendView) -> float:
    """Return the estimated time to the first token on a backend server."""
    prefill_tokens = view.queued_prefill_tokens + request.prompt_tokens
    return (
        prefill_tokens / PREFILL_TOKENS_PER_SECOND
        + view.running_streams * SECONDS_PER_RUNNING_STREAM
    )
