"""Numbers of the partials of one process that were counted."""

from __future__ import annotations

from typing import NamedTuple


class SeenPartials(NamedTuple):
    """All numbers below ``next_seq``, and those above it that came early."""

    next_seq: int = 0
    early: frozenset[int] = frozenset()


def add_partial(seen: SeenPartials, seq: int) -> SeenPartials | None:
    """Return the numbers with one more, or None if it was there already."""
    if seq < seen.next_seq or seq in seen.early:
        return None
    early = set(seen.early) | {seq}
    next_seq = seen.next_seq
    while next_seq in early:
        early.remove(next_seq)
        next_seq += 1
    return SeenPartials(next_seq, frozenset(early))
