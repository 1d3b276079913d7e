"""What an engine can do in a role."""

from __future__ import annotations

from typing import NamedTuple


class RoleProfile(NamedTuple):
    """Speed of an engine in one role.

    Attributes
    ----------
    prefill_tokens_per_second : float
        Rate at which uncached prompt tokens are processed.
    max_streams : int
        Batch up to which the time between tokens stays within the target.
    """

    prefill_tokens_per_second: float
    max_streams: int
