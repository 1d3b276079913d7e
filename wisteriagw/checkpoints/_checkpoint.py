"""Complete checkpoint."""

from __future__ import annotations

from typing import NamedTuple


class Checkpoint(NamedTuple):
    """Encoded state whose digest was verified.

    Attributes
    ----------
    through : int
        Offset of the last record that the state includes.
    parts : int
        Number of log records that hold it.
    data : bytes
        The encoded state.
    """

    through: int
    parts: int
    data: bytes
