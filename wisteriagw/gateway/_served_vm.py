"""VM that a relay passes messages on for."""

from __future__ import annotations

from typing import NamedTuple


class ServedVm(NamedTuple):
    """Last message of a VM.

    Attributes
    ----------
    sequence : int
        Its number.
    at : float
        Time of its arrival.
    """

    sequence: int
    at: float
