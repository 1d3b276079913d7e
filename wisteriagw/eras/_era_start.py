"""Start of an era of the store."""

from __future__ import annotations

from typing import NamedTuple


class EraStart(NamedTuple):
    """When an era was known to have begun.

    Attributes
    ----------
    era : int
        Era of the store.
    seen_at : float
        Wall-clock time in seconds at which a process had not seen an earlier era since.
    """

    era: int
    seen_at: float
