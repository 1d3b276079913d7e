"""Log record: the figures of a window before they are sent."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class FiguresRecorded(NamedTuple):
    """Exact figures of a window, in the log before the first attempt to send them.

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
