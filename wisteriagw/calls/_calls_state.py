"""Claims folded from one partition's stream."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.calls._claim_entry import ClaimEntry


class CallsState(NamedTuple):
    """Claims of the last hour in one partition.

    The containers are changed in place: copying an hour of claims for each record would
    cost more than all other processing.

    Attributes
    ----------
    claims : dict of (str, bytes) to ClaimEntry
        First claim by customer and key hash.
    released : dict of str to float
        Time of the release by nonce of the claim. A claim can reach the log after its
        release if its append was delayed.
    by_age : deque of (float, (str, bytes))
        Keys in the order of their claims.
    first_written_at : float or None
        Time of the oldest batch that was read.
    last_written_at : float
        Latest time in any batch.
    """

    claims: dict[tuple[str, bytes], ClaimEntry]
    released: dict[str, float]
    by_age: deque[tuple[float, tuple[str, bytes]]]
    first_written_at: float | None = None
    last_written_at: float = 0.0


def build_empty_calls() -> CallsState:
    """Return the state before the first record."""
    return CallsState({}, {}, deque())
