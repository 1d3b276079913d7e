"""Changes that have not been sent to the peers."""

from __future__ import annotations

from typing import NamedTuple


class Deltas(NamedTuple):
    """Changes in one update.

    Attributes
    ----------
    parts : tuple
        Rows of backend server, prompt part and tokens.
    unavailable : tuple
        Rows of backend server and seconds.
    results : tuple
        Rows of backend server, failures, answers and the VM that observed them, which
        has already counted them.
    """

    parts: tuple = ()
    unavailable: tuple = ()
    results: tuple = ()
