"""Speed of the engine stand-in."""

from __future__ import annotations

from typing import NamedTuple


class EngineSpeed(NamedTuple):
    """What the engine can do.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Rate at which uncached prompt tokens are processed, one prompt at a time.
    step_seconds : float
        Time of one decode step, which gives every running stream one token.
    max_batch : int
        Streams that decode at once.
    """

    prefill_tokens_per_second: float = 20_000.0
    step_seconds: float = 0.01
    max_batch: int = 64
