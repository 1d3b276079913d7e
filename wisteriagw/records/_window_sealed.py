"""Log record: usage windows were closed."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class WindowSealed(NamedTuple):
    """Every window up to ``window`` is closed; later usage counts for the next one.

    Attributes
    ----------
    window : int
        Number of the last window that is closed.
    grant : int
        Fencing number of the process that closed it.
    """

    window: int
    grant: int
