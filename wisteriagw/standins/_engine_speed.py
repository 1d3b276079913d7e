"""Speed of the engine stand-in."""

from __future__ import annotations

from typing import NamedTuple


class EngineSpeed(NamedTuple):
    """Speed and limits of the engine.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Rate at which uncached prompt tokens are processed, one prompt at a time.
    step_seconds : float
        Duration of a decode step, which adds one token to every running stream.
    max_batch : int
        Maximum number of streams in a decode batch.
    max_waiting : int
        Maximum number of waiting requests; more are refused.
    max_cached_blocks : int
        Maximum number of blocks of 1,000 tokens in the prefix cache.
    """

    prefill_tokens_per_second: float = 20_000.0
    step_seconds: float = 0.01
    max_batch: int = 64
    max_waiting: int = 256
    max_cached_blocks: int = 4096
