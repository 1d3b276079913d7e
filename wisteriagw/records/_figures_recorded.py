"""Log record: the usage figures of a window, written before they are reported."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class FiguresRecorded(NamedTuple):
    """Exact usage figures of a window, logged before the first attempt to report them.

    Attributes
    ----------
    window : int
        Number of the window.
    grant : int
        Fencing number of the process that recorded them.
    rows : list
        Rows of customer, window the usage belongs to, and the four figures.
    """

    window: int
    grant: int
    rows: list
