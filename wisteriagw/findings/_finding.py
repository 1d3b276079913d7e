"""A fault with the place where it was found."""

from __future__ import annotations

from typing import NamedTuple


class Finding(NamedTuple):
    """A fault found by a check.

    Attributes
    ----------
    place : str
        Where the fault is: a flag, a sheet row and column, a log offset.
    message : str
        What is wrong there.
    """

    place: str
    message: str
