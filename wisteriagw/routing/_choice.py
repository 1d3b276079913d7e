"""Choice of the backend server for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.routing._alternative import Alternative
from wisteriagw.routing._routing_decision import RoutingDecision

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from wisteriagw.routing._backend_view import BackendView
    from wisteriagw.routing._route_request import RouteRequest

# The weight store is rate-limited: a load takes seconds, longer than most queues.
WEIGHT_LOAD_SECONDS = 3.0
# Weight of a full batch in the estimate; it keeps short prompts off engines whose
# batch is nearly full although their prefill queue is empty.
FULL_BATCH_SECONDS = 0.3
PREFIX_BLOCK_TOKENS = 1000
# Prefers reclaimable servers for repeatable work, between otherwise equal servers.
DEPENDABLE_PENALTY_SECONDS = 0.05
# Decode engines are too slow for long prompts, so short prompts may fill only half of
# the slots of prefill engines.
LONG_PROMPT_TOKENS = 2000
SHORT_PROMPT_SLOT_FRACTION = 0.5
INFINITY = float("inf")
MISSES_DEADLINE = "would miss the deadline"
NO_CACHED_BLOCKS: Mapping[str, int] = {}


def choose_backend_server(
    request: RouteRequest,
    views: Iterable[BackendView],
    now: float,
    cached_blocks: Mapping[str, int] = NO_CACHED_BLOCKS,
    max_wait: float = INFINITY,
    seconds_left: float = INFINITY,
    reserved_fraction: float = 0.0,
    slot_fraction: float = 1.0,
    load_wait: float = 0.0,
) -> RoutingDecision:
    """Return the backend server with the lowest estimated time to the first token.

    Parameters
    ----------
    request : RouteRequest
        Request to be placed.
    views : iterable of BackendView
        Candidates.
    now : float
        Time of the decision in seconds.
    cached_blocks : mapping of str to int
        Leading blocks of the prompt that are cached, by backend server.
    max_wait : float
        A server whose queue is longer, in seconds, or whose batch is full gets
        nothing for now: the request waits in the fair queue instead.
    seconds_left : float
        Time until the deadline of the first token.
    reserved_fraction : float
        Fraction of a dependable server's slots that repeatable work may not use.
    slot_fraction : float
        Fraction of the slots that the customer may fill.
    load_wait : float
        Seconds until one more load from the weight store may start.
    """
    best: BackendView | None = None
    best_seconds = seconds_left
    congestion = ""
    considered: list[tuple[str, float, str]] = []
    for view in views:
        reason = find_exclusion(request, view)
        if reason:
            considered.append((view.name, INFINITY, reason))
            continue
        blocks = cached_blocks.get(view.name, 0)
        seconds = estimate_first_token_seconds(request, view, blocks)
        if request.adapter and request.adapter not in view.loaded:
            seconds += WEIGHT_LOAD_SECONDS + load_wait
        if seconds > seconds_left:
            considered.append((view.name, seconds, MISSES_DEADLINE))
            continue
        reason = find_congestion(
            request, view, max_wait, reserved_fraction, slot_fraction
        )
        if reason:
            congestion = reason
            considered.append((view.name, seconds, reason))
            continue
        considered.append((view.name, seconds, "slower"))
        if best is None or seconds < best_seconds:
            best, best_seconds = view, seconds
    return build_decision(best, best_seconds, considered, congestion)


def build_decision(
    best: BackendView | None,
    best_seconds: float,
    considered: list[tuple[str, float, str]],
    congestion: str,
) -> RoutingDecision:
    """Return the decision with all candidates."""
    if best is None:
        return RoutingDecision(
            None, tuple(map(Alternative._make, considered)), congestion
        )
    index = [name for name, _, _ in considered].index(best.name)
    considered[index] = (best.name, best_seconds, "")
    alternatives = tuple(map(Alternative._make, considered))
    return RoutingDecision(best.name, alternatives, "", best_seconds)


def find_exclusion(request: RouteRequest, view: BackendView) -> str:
    """Return why a backend server cannot serve a request, or an empty string."""
    if view.serves != request.serves:
        return "serves another model or service"
    if view.leaving:
        return "leaving"
    if view.name in request.excluded:
        return "failed this request before"
    if view.reclaimable and not request.repeatable:
        return "reclaimable, but the request is not repeatable"
    return ""


def find_congestion(
    request: RouteRequest,
    view: BackendView,
    max_wait: float,
    reserved_fraction: float = 0.0,
    slot_fraction: float = 1.0,
) -> str:
    """Return why a backend server gets no new work for now, or an empty string."""
    if max_wait == INFINITY:
        return ""
    slots = view.max_streams * slot_fraction
    if reserved_fraction and request.repeatable and not view.reclaimable:
        slots *= 1.0 - reserved_fraction
    if view.role == "prefill" and request.prompt_tokens < LONG_PROMPT_TOKENS:
        slots *= SHORT_PROMPT_SLOT_FRACTION
    # An entry VM below its even share may send although the server is full: otherwise
    # one without work there would starve behind the others. This does not apply to
    # slots that are reserved for other work.
    entry_vms = view.entry_vms
    reduced = slots < view.max_streams
    over_share = not entry_vms or reduced or view.own_streams * entry_vms >= slots
    if view.running_streams >= slots and over_share:
        return "batch full"
    tokens = slot_fraction * max_wait * view.prefill_tokens_per_second
    over_share = not entry_vms or view.own_prefill_tokens * entry_vms >= tokens
    if view.queued_prefill_tokens > tokens and over_share:
        return "queue longer than the allowed wait"
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
        + FULL_BATCH_SECONDS * fill * fill
        + view.call_seconds * (1.0 + fill)
    )
    if request.repeatable and not view.reclaimable:
        seconds += DEPENDABLE_PENALTY_SECONDS
    return seconds
