"""Choice of the backend server for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.routing._alternative import Alternative
from wisteriagw.routing._routing_decision import RoutingDecision

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisteriagw.routing._backend_view import BackendView
    from wisteriagw.routing._route_request import RouteRequest

# The weight store is rate-limited: a load takes seconds, so it outweighs most queues.
LOAD_SECONDS = 3.0
# Weight of a full batch in the estimate; it keeps short prompts off engines whose
# batch is nearly full although their prefill queue is empty.
PRESSURE_SECONDS = 0.3
PREFIX_BLOCK_TOKENS = 1000
# Preference of work that may repeat for cheap servers, where both are as good.
DEPENDABLE_SECONDS = 0.05
# Decode engines are too slow for long prompts, so short ones leave them half of
# the places of prefill engines.
LONG_PROMPT_TOKENS = 2000
SHORT_PROMPT_PART = 0.5
INFINITY = float("inf")
TOO_LATE = "too late for the deadline"
NO_CACHED_BLOCKS: Mapping[str, int] = {}


def choose_backend_server(
    request: RouteRequest,
    views: Iterable[BackendView],
    now: float,
    cached_blocks: Mapping[str, int] = NO_CACHED_BLOCKS,
    longest_wait: float = INFINITY,
    seconds_left: float = INFINITY,
    reserved: float = 0.0,
    places_part: float = 1.0,
    load_wait: float = 0.0,
) -> RoutingDecision:
    """Return the backend server with the lowest estimated time to the first token.

    Parameters
    ----------
    request : RouteRequest
        What is to be placed.
    views : iterable of BackendView
        Candidates.
    now : float
        Time of the decision in seconds.
    cached_blocks : mapping of str to int
        Blocks of the prompt that backend servers hold, by name.
    longest_wait : float
        A server whose queue is longer, in seconds, or whose batch is full gets
        nothing now: the request waits in the fair queue instead.
    seconds_left : float
        Time until the deadline of the first token.
    reserved : float
        Part of a dependable server that is kept from work that may repeat.
    places_part : float
        Part of the places that the customer may fill.
    load_wait : float
        Seconds until the weight store may be asked for one more adapter.
    """
    best: BackendView | None = None
    best_seconds = seconds_left
    busy = ""
    weighed: list[tuple[str, float, str]] = []
    for view in views:
        reason = find_exclusion(request, view)
        if reason:
            weighed.append((view.name, INFINITY, reason))
            continue
        blocks = cached_blocks.get(view.name, 0)
        seconds = estimate_first_token_seconds(request, view, blocks)
        if request.adapter and request.adapter not in view.loaded:
            seconds += LOAD_SECONDS + load_wait
        if seconds > seconds_left:
            weighed.append((view.name, seconds, TOO_LATE))
            continue
        reason = find_congestion(request, view, longest_wait, reserved, places_part)
        if reason:
            busy = reason
            weighed.append((view.name, seconds, reason))
            continue
        weighed.append((view.name, seconds, "slower"))
        if best is None or seconds < best_seconds:
            best, best_seconds = view, seconds
    return build_decision(best, best_seconds, weighed, busy)


def build_decision(
    best: BackendView | None,
    best_seconds: float,
    weighed: list[tuple[str, float, str]],
    busy: str,
) -> RoutingDecision:
    """Return the decision with all that was weighed."""
    if best is None:
        return RoutingDecision(None, tuple(map(Alternative._make, weighed)), busy)
    place = [name for name, _, _ in weighed].index(best.name)
    weighed[place] = (best.name, best_seconds, "")
    alternatives = tuple(map(Alternative._make, weighed))
    return RoutingDecision(best.name, alternatives, "", best_seconds)


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


def find_congestion(
    request: RouteRequest,
    view: BackendView,
    longest_wait: float,
    reserved: float = 0.0,
    places_part: float = 1.0,
) -> str:
    """Return why a backend server gets nothing at the moment, or an empty text."""
    if longest_wait == INFINITY:
        return ""
    places = view.max_streams * places_part
    if reserved and request.repeatable and not view.reclaimable:
        places *= 1.0 - reserved
    if view.role == "prefill" and request.prompt_tokens < LONG_PROMPT_TOKENS:
        places *= SHORT_PROMPT_PART
    # An entry VM below its even part may send although the server is full: otherwise
    # one without work there would wait for ever behind the others. Places that are
    # kept for other work are not given away by this.
    sharing = view.entry_vms
    kept = places < view.max_streams
    over_part = not sharing or kept or view.own_streams * sharing >= places
    if view.running_streams >= places and over_part:
        return "batch full"
    tokens = places_part * longest_wait * view.prefill_tokens_per_second
    over_part = not sharing or view.own_prefill_tokens * sharing >= tokens
    if view.queued_prefill_tokens > tokens and over_part:
        return "queue longer than the wait allowed"
    return ""


def estimate_first_token_seconds(
    request: RouteRequest, view: BackendView, cached_blocks: int = 0
) -> float:
    """Return the estimated time to the first token on a backend server."""
    tokens = view.queued_prefill_tokens
    uncached = request.prompt_tokens - cached_blocks * PREFIX_BLOCK_TOKENS
    if uncached > 0:
        tokens += uncached
    fill = view.running_streams / view.max_streams
    seconds = (
        2 * view.network_seconds
        + tokens / view.prefill_tokens_per_second
        + PRESSURE_SECONDS * fill * fill
        + view.call_seconds * (1.0 + fill)
    )
    if request.repeatable and not view.reclaimable:
        seconds += DEPENDABLE_SECONDS
    return seconds
