"""What the peers have not been told of."""

from __future__ import annotations

from typing import NamedTuple


class Deltas(NamedTuple):
    """Rows of one message.

    Attributes
    ----------
    parts : tuple
        Rows of backend server, prompt part and tokens.
    away : tuple
        Rows of backend server and seconds.
    results : tuple
        Rows of backend server, failures, answers and the VM that saw them, which has
        counted them already.
    """

    parts: tuple = ()
    away: tuple = ()
    results: tuple = ()
