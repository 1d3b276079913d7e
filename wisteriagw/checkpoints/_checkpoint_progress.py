"""Growth of a stream since its newest checkpoint."""

from __future__ import annotations

from typing import NamedTuple


class CheckpointProgress(NamedTuple):
    """Input of the decision whether to write a checkpoint.

    Attributes
    ----------
    next_offset : int
        Offset after the last record that the writer has read.
    through : int
        Last record that the newest complete checkpoint includes, -1 if there is none.
    parts : int
        Number of records that hold the newest complete checkpoint.
    seen_at : float
        When the newest complete checkpoint was read, or when the writer began to read.
    """

    next_offset: int
    through: int
    parts: int
    seen_at: float
