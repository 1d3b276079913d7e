"""Cost of the work that a request causes."""

from __future__ import annotations

from typing import NamedTuple


class WorkCost(NamedTuple):
    """Engine seconds per token.

    Only the ratio matters: a decode token occupies a slot in a step and costs several
    times as much as a prefill token of a large chunk.
    """

    prefill_token_seconds: float = 1 / 32_000
    decode_token_seconds: float = 0.000_25


def compute_work(cost: WorkCost, prefill_tokens: float, decode_tokens: float) -> float:
    """Return the engine seconds of a request."""
    return (
        prefill_tokens * cost.prefill_token_seconds
        + decode_tokens * cost.decode_token_seconds
    )
