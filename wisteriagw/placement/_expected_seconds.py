"""Seconds that a request is expected to take at a server of speed 1."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.placement._choice import estimate_fill_cost, estimate_slot_wait

if TYPE_CHECKING:
    from wisteriagw.placement._engine_rates import EngineRates
    from wisteriagw.placement._server_view import ServerView


def expect_prefill(rates: EngineRates, tokens: float) -> float:
    """Return the seconds of a prefill call, queued tokens included.

    Load: a long prompt or a queue must not look like a slow server.
    """
    return rates.first_event_seconds + tokens / rates.tokens_per_second


def expect_first_event(rates: EngineRates, tokens: float, view: ServerView) -> float:
    """Return the seconds to the first event at an engine, as placement estimates them.

    Parameters
    ----------
    rates : EngineRates
        Rates of the service.
    tokens : float
        Tokens to prefill, queued ones included, scaled to the prefill stage.
    view : ServerView
        Engine before the request was sent.
    """
    equal = view._replace(speed=1.0)
    wait = estimate_slot_wait(equal, rates.stream_seconds)
    return expect_prefill(rates, tokens) + wait + estimate_fill_cost(equal)


def expect_answer(view: ServerView) -> float:
    """Return the expected time of a plain answer in multiples of its service time.

    Parameters
    ----------
    view : ServerView
        Server before the request was sent.
    """
    return max(1.0, (view.streams + 1) / view.slots)
