"""Choice of backend servers by the estimated time to the first event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._engine_rates import DECODE_STAGE_FACTOR
from wisteriagw.placement._plan import Plan

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from wisteriagw.placement._engine_rates import EngineRates
    from wisteriagw.placement._prompt import Prompt
    from wisteriagw.placement._server_view import ServerView
    from wisteriagw.routes import EngineTraits

# Round trips of the prefill call and of setting a transfer up.
SPLIT_SECONDS = 0.015
# Moved KV cache is priced, so a split must save time that is worth the move.
SPLIT_PENALTY_SECONDS = 0.03
# Setting a fetch up; parts that are smaller than the bound are read as fast.
FETCH_SECONDS = 0.01
MIN_FETCHED_TOKENS = 1_000
# Transfers between data centres take twice as long, says the protocol.
REMOTE_TRANSFER_FACTOR = 2.0
# A request beyond the slots waits for a running one to end.
WAIT_FOR_SLOT_SECONDS = 0.4
# A full batch slows each step; short of that the slope is nearly even.
FULL_BATCH_SECONDS = 0.15
# Preference for the own data centre where two servers are as good.
REMOTE_SECONDS = 0.002


def draw_nothing() -> float:
    """Return no seconds."""
    return 0.0


def choose_server(
    views: Iterable[ServerView], data_centre: str, excluded: tuple[str, ...] = ()
) -> Plan | None:
    """Return the plain-service server with the least work for its slots."""
    best: ServerView | None = None
    best_load = 0.0
    for view in views:
        if view.name in excluded:
            continue
        load = (view.streams + 1) / view.slots + view.suspicion
        if view.data_centre != data_centre:
            load += REMOTE_SECONDS
        if best is None or load < best_load:
            best, best_load = view, load
    return None if best is None else Plan(best.name)


def choose_plan(
    prompt: Prompt,
    views: Iterable[ServerView],
    rates: EngineRates,
    traits: EngineTraits,
    data_centre: str,
    excluded: tuple[str, ...] = (),
    draw_spread: Callable[[], float] = draw_nothing,
) -> Plan | None:
    """Return the plan with the lowest estimated time to the first event, or None.

    A prompt is read whole by the engine that answers, or by an engine of the prefill
    stage whose KV cache is moved to the engine that answers. Leading parts that another
    engine keeps are fetched from there.

    Parameters
    ----------
    draw_spread : callable
        Gives random seconds that are added to the estimate of each engine. What is
        known of the work of other VMs is some time old, and without the spread all VMs
        would send to the same engine until it is known to be busy.
    """
    decode: list[tuple[float, ServerView]] = []
    prefill: list[tuple[float, ServerView]] = []
    keeper: ServerView | None = None
    for view in views:
        if keeper is None or view.cached_tokens > keeper.cached_tokens:
            keeper = view
        if view.name in excluded:
            continue
        spread = draw_spread()
        if view.stage == "prefill":
            prefill.append((spread, view))
            continue
        decode.append((spread + estimate_batch_wait(view, data_centre), view))
    best: Plan | None = None
    rate = rates.tokens_per_second * DECODE_STAGE_FACTOR
    for wait, view in decode:
        plan = plan_reading(prompt, view, keeper, rate, traits)
        seconds = wait + plan.seconds + rates.first_seconds
        if best is None or seconds < best.seconds:
            best = plan._replace(seconds=seconds)
    if best is None or not prefill:
        return best
    split = choose_split(prompt, decode, prefill, keeper, rates, traits)
    if split.seconds + SPLIT_PENALTY_SECONDS < best.seconds:
        return split
    return best


def choose_split(
    prompt: Prompt,
    decode: list[tuple[float, ServerView]],
    prefill: list[tuple[float, ServerView]],
    keeper: ServerView,
    rates: EngineRates,
    traits: EngineTraits,
) -> Plan:
    """Return the best plan that reads the prompt on an engine of the prefill stage."""
    best: Plan | None = None
    for spread, reader in prefill:
        plan = plan_reading(prompt, reader, keeper, rates.tokens_per_second, traits)
        reading = spread + plan.seconds + reader.suspicion
        for wait, view in decode:
            seconds = reading + wait + rates.first_seconds + SPLIT_SECONDS
            tokens = max(0, prompt.tokens - view.cached_tokens)
            seconds += estimate_transfer(tokens, reader, view, traits)
            if best is None or seconds < best.seconds:
                best = plan._replace(
                    server=view.name, prefill=reader.name, seconds=seconds
                )
    return best


def plan_reading(
    prompt: Prompt,
    reader: ServerView,
    keeper: ServerView,
    rate: float,
    traits: EngineTraits,
) -> Plan:
    """Return how an engine reads a prompt, and how long it takes."""
    cached = reader.cached_tokens
    fetch_from, transfer = "", 0.0
    missing = keeper.cached_tokens - cached
    if missing >= MIN_FETCHED_TOKENS:
        transfer = FETCH_SECONDS + estimate_transfer(missing, keeper, reader, traits)
        if transfer < missing / rate:
            fetch_from, cached = keeper.name, keeper.cached_tokens
        else:
            transfer = 0.0
    uncached = max(0, prompt.tokens - cached)
    seconds = transfer + (reader.waiting_tokens + uncached) / rate
    return Plan(reader.name, "", fetch_from, seconds, uncached)


def estimate_batch_wait(view: ServerView, data_centre: str) -> float:
    """Return the seconds that other requests and distance add on a server."""
    fill = (view.streams + 1) / view.slots
    seconds = view.suspicion + FULL_BATCH_SECONDS * fill * fill
    if fill > 1:
        seconds += WAIT_FOR_SLOT_SECONDS * (fill - 1) * view.slots / 8
    if view.data_centre != data_centre:
        seconds += REMOTE_SECONDS
    return seconds


def estimate_transfer(
    tokens: int, sender: ServerView, receiver: ServerView, traits: EngineTraits
) -> float:
    """Return the seconds that moving the KV cache of some tokens takes."""
    if not traits.link_mbps:
        return 0.0
    seconds = tokens * traits.token_bytes * 8 / (traits.link_mbps * 1e6)
    if sender.data_centre != receiver.data_centre:
        seconds *= REMOTE_TRANSFER_FACTOR
    return seconds
