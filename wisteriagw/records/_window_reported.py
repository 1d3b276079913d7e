"""Log record: the usage of a customer in a window was reported."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class WindowReported(NamedTuple):
    """The usage interface accepted the report of one customer for one window.

    Attributes
    ----------
    window : int
        Number of the window.
    customer : str
        Customer of the report.
    grant : int
        Fencing number of the process that reported.
    """

    window: int
    customer: str
    grant: int
