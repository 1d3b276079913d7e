"""Update of this VM that a relay may acknowledge."""

from __future__ import annotations

from typing import NamedTuple


class SentUpdate(NamedTuple):
    """Data of a sent update that is needed when it is acknowledged.

    Attributes
    ----------
    at : float
        Time at which it was sent.
    work : tuple
        Its rows of backend server, waiting prompt tokens and streams.
    sums : tuple
        Its rows of table, key and numbers.
    """

    at: float
    work: tuple
    sums: tuple = ()
