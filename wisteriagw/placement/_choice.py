"""Choice of backend servers by the estimated time to the first event."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._engine_rates import DECODE_STAGE_FACTOR
from wisteriagw.placement._plan import Plan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.placement._engine_rates import EngineRates
    from wisteriagw.placement._prompt import Prompt
    from wisteriagw.placement._server_view import ServerView
    from wisteriagw.routes import EngineTraits

# Round trips of the prefill call and of setting a transfer up.
SPLIT_SECONDS = 0.015
# Moved KV cache is priced, so a split must save time that is worth the move.
SPLIT_PENALTY_SECONDS = 0.03
# Transfers between data centres take twice as long, says the protocol.
REMOTE_TRANSFER_FACTOR = 2.0
# A request beyond the slots waits for a running one to end.
WAIT_FOR_SLOT_SECONDS = 0.4
# A full batch slows each step; short of that the slope is nearly even.
FULL_BATCH_SECONDS = 0.15
# Preference for the own data centre where two servers are as good.
REMOTE_SECONDS = 0.002


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
) -> Plan | None:
    """Return the plan with the lowest estimated time to the first event, or None.

    A prompt is read whole by the engine that answers, or by an engine of the prefill
    stage whose KV cache is moved to the engine that answers.
    """
    decode: list[tuple[float, ServerView]] = []
    prefill: list[ServerView] = []
    for view in views:
        if view.name in excluded:
            continue
        if view.stage == "prefill":
            prefill.append(view)
            continue
        decode.append((estimate_batch_wait(view, data_centre), view))
    best: Plan | None = None
    for wait, view in decode:
        uncached = max(0, prompt.tokens - view.cached_tokens)
        tokens = view.waiting_tokens + uncached
        reading = tokens / (rates.tokens_per_second * DECODE_STAGE_FACTOR)
        seconds = wait + reading + rates.first_seconds
        if best is None or seconds < best.seconds:
            best = Plan(view.name, "", seconds, uncached)
    if best is None or not prefill:
        return best
    split = choose_split(prompt, decode, prefill, rates, traits)
    if split.seconds + SPLIT_PENALTY_SECONDS < best.seconds:
        return split
    return best


def choose_split(
    prompt: Prompt,
    decode: list[tuple[float, ServerView]],
    prefill: list[ServerView],
    rates: EngineRates,
    traits: EngineTraits,
) -> Plan:
    """Return the best plan that reads the prompt on an engine of the prefill stage."""
    best: Plan | None = None
    for reader in prefill:
        uncached = max(0, prompt.tokens - reader.cached_tokens)
        reading = (reader.waiting_tokens + uncached) / rates.tokens_per_second
        reading += reader.suspicion
        for wait, view in decode:
            seconds = reading + wait + rates.first_seconds + SPLIT_SECONDS
            seconds += estimate_transfer(prompt, reader, view, traits)
            if best is None or seconds < best.seconds:
                best = Plan(view.name, reader.name, seconds, uncached)
    return best


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
    prompt: Prompt, reader: ServerView, view: ServerView, traits: EngineTraits
) -> float:
    """Return the seconds that moving a prompt's KV cache takes."""
    if not traits.link_mbps:
        return 0.0
    tokens = max(0, prompt.tokens - view.cached_tokens)
    seconds = tokens * traits.token_bytes * 8 / (traits.link_mbps * 1e6)
    if reader.data_centre != view.data_centre:
        seconds *= REMOTE_TRANSFER_FACTOR
    return seconds
