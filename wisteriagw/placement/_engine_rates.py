"""Learnt speed of engines."""

from __future__ import annotations

from typing import NamedTuple

# Until a prompt was timed; the first timed prompts replace it within seconds.
INITIAL_TOKENS_PER_SECOND = 30_000.0
# Engines of the decode stage read prompts at half the speed, says the protocol.
DECODE_STAGE_FACTOR = 0.5
LEARNING_PART = 0.05
# Short prompts are dominated by the time of a step, not by reading.
MIN_TIMED_TOKENS = 2_000
INITIAL_STEP_SECONDS = 0.06


class EngineRates(NamedTuple):
    """Speed at which an engine of the prefill stage reads prompts.

    Attributes
    ----------
    tokens_per_second : float
        Prompt tokens read in a second.
    first_seconds : float
        Time to the first event of a request whose prompt needs no reading.
    """

    tokens_per_second: float = INITIAL_TOKENS_PER_SECOND
    first_seconds: float = INITIAL_STEP_SECONDS


def learn_rate(rates: EngineRates, tokens: float, seconds: float) -> EngineRates:
    """Return the rates after tokens, at prefill speed, took some seconds to be read."""
    if tokens < MIN_TIMED_TOKENS:
        if seconds >= 2 * rates.first_seconds:
            return rates
        first = rates.first_seconds + LEARNING_PART * (seconds - rates.first_seconds)
        return rates._replace(first_seconds=first)
    reading = seconds - rates.first_seconds
    if reading <= 0:
        return rates
    # The time per token is averaged, so that a stalled engine counts once and a burst
    # of quick answers does not hide it.
    pace = 1.0 / rates.tokens_per_second
    sample = min(reading / tokens, 4 * pace)
    pace += LEARNING_PART * (sample - pace)
    return rates._replace(tokens_per_second=1.0 / pace)
