"""VM that a relay forwards updates for."""

from __future__ import annotations

from typing import NamedTuple


class ServedVm(NamedTuple):
    """Last update from a VM.

    Attributes
    ----------
    sequence : int
        Its sequence number.
    at : float
        Time of its receipt.
    """

    sequence: int
    at: float
