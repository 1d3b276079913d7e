"""Choice of backend servers by the estimated time to the first event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._engine_rates import DECODE_STAGE_FACTOR
from wisteriagw.placement._plan import Plan
from wisteriagw.placement._sampling import sample_servers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.placement._engine_rates import EngineRates
    from wisteriagw.placement._prompt import Prompt
    from wisteriagw.placement._server_view import ServerView
    from wisteriagw.routes import EngineTraits

# Round trips of the prefill call and of setting up the KV cache transfer.
SPLIT_OVERHEAD_SECONDS = 0.015
# Moving KV cache has a cost, so a split must save more than this.
SPLIT_PENALTY_SECONDS = 0.03
# Setting up a fetch; below the bound a prefill takes no longer than a fetch.
FETCH_OVERHEAD_SECONDS = 0.01
MIN_FETCHED_TOKENS = 1_000
# The protocol states that transfers between data centres take twice as long.
REMOTE_TRANSFER_FACTOR = 2.0
# A full batch slows each step; below that the slowdown is nearly flat.
FULL_BATCH_SECONDS = 0.15
# A prefill on a decode engine takes turns with the tokens of the batch; each stream
# loses about this part of its duration.
BATCH_DELAY_FRACTION = 0.5
# Prefers the own data centre between two otherwise equal servers.
REMOTE_PENALTY_SECONDS = 0.002


def choose_server(
    views: Iterable[ServerView],
    data_centre: str,
    draw: Callable[[], float],
    excluded: tuple[str, ...] = (),
) -> Plan | None:
    """Return a plan for the server of a plain service with the lowest load per slot.

    Only a random sample of the servers is compared (`sample_servers`).
    """
    best: ServerView | None = None
    best_load = 0.0
    candidates = [view for view in views if view.name not in excluded]
    for view in sample_servers(candidates, draw, MIN_FETCHED_TOKENS):
        load = (view.streams + 1) / view.slots + view.failure_penalty
        if view.data_centre != data_centre:
            load += REMOTE_PENALTY_SECONDS
        if best is None or load < best_load:
            best, best_load = view, load
    return None if best is None else Plan(best.name)


def choose_plan(
    prompt: Prompt,
    views: Iterable[ServerView],
    rates: EngineRates,
    traits: EngineTraits,
    data_centre: str,
    draw: Callable[[], float],
    excluded: tuple[str, ...] = (),
) -> Plan | None:
    """Return the plan with the lowest estimated time to the first event, or None.

    The prefill runs on the engine that answers, or on an engine of the prefill stage
    whose KV cache is then moved to the engine that answers. Leading parts that another
    engine has cached are fetched from there. Of each stage, only a random sample of the
    engines is compared (`sample_servers`).

    Parameters
    ----------
    draw : callable
        Returns random numbers in [0, 1).
    """
    decode: list[ServerView] = []
    prefill: list[ServerView] = []
    cache_holder: ServerView | None = None
    for view in views:
        if cache_holder is None or view.cached_tokens > cache_holder.cached_tokens:
            cache_holder = view
        if view.name in excluded:
            continue
        stage = prefill if view.stage == "prefill" else decode
        stage.append(view)
    waits = [
        (
            estimate_slot_wait(view, rates.stream_seconds),
            estimate_batch_cost(view, data_centre),
            view,
        )
        for view in sample_servers(decode, draw, MIN_FETCHED_TOKENS)
    ]
    best: Plan | None = None
    rate = rates.tokens_per_second * DECODE_STAGE_FACTOR
    for wait, cost, view in waits:
        plan = plan_prefill(prompt, view, cache_holder, rate, traits)
        delay = plan.uncached_tokens / rate * BATCH_DELAY_FRACTION * view.streams
        seconds = wait + cost + plan.seconds + rates.first_event_seconds + delay
        if best is None or seconds < best.seconds:
            best = plan._replace(
                seconds=seconds, queue_seconds=plan.queue_seconds + wait
            )
    if best is None or not prefill:
        return best
    engines = sample_servers(prefill, draw, MIN_FETCHED_TOKENS)
    split = choose_split(prompt, waits, engines, cache_holder, rates, traits)
    if split.seconds + SPLIT_PENALTY_SECONDS < best.seconds:
        return split
    return best


def choose_split(
    prompt: Prompt,
    decode: list[tuple[float, float, ServerView]],
    prefill: list[ServerView],
    cache_holder: ServerView,
    rates: EngineRates,
    traits: EngineTraits,
) -> Plan:
    """Return the best plan whose prefill runs on an engine of the prefill stage."""
    best: Plan | None = None
    for engine in prefill:
        plan = plan_prefill(
            prompt, engine, cache_holder, rates.tokens_per_second, traits
        )
        prefill_seconds = plan.seconds + engine.failure_penalty
        for wait, cost, view in decode:
            seconds = (
                prefill_seconds
                + wait
                + cost
                + rates.first_event_seconds
                + SPLIT_OVERHEAD_SECONDS
            )
            tokens = max(0, prompt.tokens - view.cached_tokens)
            seconds += estimate_transfer(tokens, engine, view, traits)
            if best is None or seconds < best.seconds:
                best = plan._replace(
                    server=view.name,
                    prefill=engine.name,
                    seconds=seconds,
                    queue_seconds=plan.queue_seconds + wait,
                )
    return best


def plan_prefill(
    prompt: Prompt,
    engine: ServerView,
    cache_holder: ServerView,
    rate: float,
    traits: EngineTraits,
) -> Plan:
    """Return the plan of a prefill on an engine, with its estimated duration."""
    cached = engine.cached_tokens
    fetch_from, transfer = "", 0.0
    missing = cache_holder.cached_tokens - cached
    if missing >= MIN_FETCHED_TOKENS:
        transfer = FETCH_OVERHEAD_SECONDS + estimate_transfer(
            missing, cache_holder, engine, traits
        )
        if transfer < missing / rate:
            fetch_from, cached = cache_holder.name, cache_holder.cached_tokens
        else:
            transfer = 0.0
    uncached = max(0, prompt.tokens - cached)
    queue = engine.waiting_tokens / rate
    seconds = queue + transfer + uncached / rate
    return Plan(engine.name, "", fetch_from, seconds, uncached, queue)


def estimate_slot_wait(view: ServerView, stream_seconds: float) -> float:
    """Return the seconds until a slot is free, which streams hold for some time."""
    fill = (view.streams + 1) / view.slots
    return stream_seconds * max(0.0, fill - 1)


def estimate_batch_cost(view: ServerView, data_centre: str) -> float:
    """Return the seconds added by failures, the size of the batch and distance."""
    fill = (view.streams + 1) / view.slots
    seconds = view.failure_penalty + FULL_BATCH_SECONDS * fill * fill
    if view.data_centre != data_centre:
        seconds += REMOTE_PENALTY_SECONDS
    return seconds


def estimate_transfer(
    tokens: int, sender: ServerView, receiver: ServerView, traits: EngineTraits
) -> float:
    """Return the seconds that the transfer of some tokens' KV cache takes."""
    if not traits.link_mbps:
        return 0.0
    seconds = tokens * traits.token_bytes * 8 / (traits.link_mbps * 1e6)
    if sender.data_centre != receiver.data_centre:
        seconds *= REMOTE_TRANSFER_FACTOR
    return seconds
