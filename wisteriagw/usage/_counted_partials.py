"""Sequence numbers of the counted partials of one process."""

from __future__ import annotations

from typing import NamedTuple


class CountedPartials(NamedTuple):
    """All numbers below ``next_seq``, and those above it that came out of order."""

    next_seq: int = 0
    out_of_order: frozenset[int] = frozenset()


def add_partial(counted: CountedPartials, seq: int) -> CountedPartials | None:
    """Return the numbers with ``seq``, or None if it was counted before."""
    if seq < counted.next_seq or seq in counted.out_of_order:
        return None
    out_of_order = set(counted.out_of_order) | {seq}
    next_seq = counted.next_seq
    while next_seq in out_of_order:
        out_of_order.remove(next_seq)
        next_seq += 1
    return CountedPartials(next_seq, frozenset(out_of_order))
