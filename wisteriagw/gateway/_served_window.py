"""Usage window of a process that a relay stores."""

from __future__ import annotations

from typing import NamedTuple


class ServedWindow(NamedTuple):
    """Identity of the counts of one process in one window.

    Attributes
    ----------
    vm, incarnation : str
        VM and process that counted.
    window : int
        Window that has ended there.
    """

    vm: str
    incarnation: str
    window: int
