"""Performance of an engine in a role."""

from __future__ import annotations

from typing import NamedTuple


class RoleProfile(NamedTuple):
    """Performance of an engine in one role.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Rate at which uncached prompt tokens are processed with a full batch.
    max_streams : int
        Largest batch for which the time between tokens stays within the target.
    idle_prefill_tokens_per_second : float
        The rate with an empty batch; 0 if it is the same.
    call_seconds : float
        Mean duration of a call of a plain service.
    """

    prefill_tokens_per_second: float
    max_streams: int
    idle_prefill_tokens_per_second: float = 0.0
    call_seconds: float = 0.0


def compute_prefill_rate(profile: RoleProfile, streams: float) -> float:
    """Return the prefill rate at a batch size; the time per token grows with it."""
    full = profile.prefill_tokens_per_second
    idle = profile.idle_prefill_tokens_per_second or full
    fill = min(1.0, streams / profile.max_streams)
    return 1.0 / (1.0 / idle + fill * (1.0 / full - 1.0 / idle))
