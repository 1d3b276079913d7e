"""How far a stream has grown since its newest checkpoint."""

from __future__ import annotations

from typing import NamedTuple


class CheckpointProgress(NamedTuple):
    """What the decision to write a checkpoint looks at.

    Attributes
    ----------
    next_offset : int
        Offset after the last record that the writer has read.
    through : int
        Last record that the newest whole checkpoint includes, -1 if there is none.
    parts : int
        Number of records that hold the newest whole checkpoint.
    seen_at : float
        When the newest whole checkpoint was read, or when the writer began to read.
    """

    next_offset: int
    through: int
    parts: int
    seen_at: float
