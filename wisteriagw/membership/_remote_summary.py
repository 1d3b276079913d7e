"""Summary of other data centres that a relay sends within its data centre."""

from __future__ import annotations

from typing import NamedTuple


class RemoteSummary(NamedTuple):
    """Sum of the digests that one relay holds.

    Attributes
    ----------
    data_centres : int
        Bit mask of the data centres that are included, by their place in the sorted
        names of the VM list. Two summaries are added only if they share no bit.
    count, lowest_revision, highest_revision : int
        As in ``DigestPush``, over all of them.
    age_ms : int
        Greatest age of any part.
    absent, uncounted : tuple of str
        As in ``DigestPush``.
    """

    data_centres: int
    count: int
    lowest_revision: int
    highest_revision: int
    age_ms: int
    absent: tuple[str, ...] = ()
    uncounted: tuple[str, ...] = ()
