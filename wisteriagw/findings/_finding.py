"""A fault with its location."""

from __future__ import annotations

from typing import NamedTuple


class Finding(NamedTuple):
    """A fault found by a check.

    Attributes
    ----------
    place : str
        Location of the fault, such as a flag, a sheet row and column or a log offset.
    message : str
        Description of the fault.
    """

    place: str
    message: str
