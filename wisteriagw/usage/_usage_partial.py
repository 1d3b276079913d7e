"""Partial aggregate of the usage that one entry process counted."""

from __future__ import annotations

from typing import Any, NamedTuple


class UsagePartial(NamedTuple):
    """Usage that an entry process counted since its last partial.

    Attributes
    ----------
    vm, incarnation : str
        Entry process that counted.
    seq : int
        Number of the partial; with the process it is the identity, so that a partial
        that is appended again counts once.
    entries : list
        Rows of window, customer and the four figures, for requests that began and
        ended on this VM.
    requests : list
        Rows of request id, window, customer and the four figures, for requests that
        were interrupted or resumed.
    """

    vm: str
    incarnation: str
    seq: int
    entries: list[list[Any]]
    requests: list[list[Any]]
