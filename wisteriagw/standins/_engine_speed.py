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
    max_waiting : int
        Requests that wait; more are refused.
    max_cached_blocks : int
        Blocks of 1,000 tokens in the prefix cache.
    """

    prefill_tokens_per_second: float = 20_000.0
    step_seconds: float = 0.01
    max_batch: int = 64
    max_waiting: int = 256
    max_cached_blocks: int = 4096
