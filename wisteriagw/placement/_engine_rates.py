"""Measured speed of engines."""

from __future__ import annotations

from typing import NamedTuple

# Used until a prompt has been timed; the first samples replace it within seconds.
INITIAL_TOKENS_PER_SECOND = 30_000.0
# The protocol states that decode engines run a prefill at half the speed.
DECODE_STAGE_FACTOR = 0.5
SMOOTHING_FACTOR = 0.05
# The time of shorter prompts is dominated by the duration of a step.
MIN_TIMED_TOKENS = 2_000
INITIAL_FIRST_EVENT_SECONDS = 0.06
INITIAL_STREAM_SECONDS = 1.0


class EngineRates(NamedTuple):
    """Prefill speed of an engine of the prefill stage.

    Attributes
    ----------
    tokens_per_second : float
        Prompt tokens processed per second.
    first_event_seconds : float
        Time to the first event of a request that needs no prefill.
    stream_seconds : float
        Mean time from the first event of a stream to its end.
    """

    tokens_per_second: float = INITIAL_TOKENS_PER_SECOND
    first_event_seconds: float = INITIAL_FIRST_EVENT_SECONDS
    stream_seconds: float = INITIAL_STREAM_SECONDS


def update_rates(rates: EngineRates, tokens: float, seconds: float) -> EngineRates:
    """Return the rates after a prefill of some tokens took some seconds.

    Parameters
    ----------
    rates : EngineRates
        Rates before the sample.
    tokens : float
        Processed prompt tokens, those queued before the prompt included, scaled to the
        speed of the prefill stage.
    seconds : float
        Duration of the prefill call, or time to the first event.
    """
    if tokens < MIN_TIMED_TOKENS:
        if seconds >= 2 * rates.first_event_seconds:
            return rates
        first = rates.first_event_seconds + SMOOTHING_FACTOR * (
            seconds - rates.first_event_seconds
        )
        return rates._replace(first_event_seconds=first)
    prefill_seconds = seconds - rates.first_event_seconds
    if prefill_seconds <= 0:
        return rates
    # Averages the time per token, not the rate: a stalled engine counts once, and a
    # burst of fast answers does not hide it.
    token_seconds = 1.0 / rates.tokens_per_second
    sample = min(prefill_seconds / tokens, 4 * token_seconds)
    token_seconds += SMOOTHING_FACTOR * (sample - token_seconds)
    return rates._replace(tokens_per_second=1.0 / token_seconds)


def update_stream_seconds(rates: EngineRates, seconds: float) -> EngineRates:
    """Return the rates after a stream ran for some seconds after its first event."""
    change = SMOOTHING_FACTOR * (seconds - rates.stream_seconds)
    return rates._replace(stream_seconds=rates.stream_seconds + change)
