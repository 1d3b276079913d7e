"""Key by which usage is aggregated."""

from __future__ import annotations

from typing import NamedTuple


class UsageKey(NamedTuple):
    """A customer in a window.

    Attributes
    ----------
    window : int
        Window in which the usage is reported.
    customer : str
        Who caused the usage.
    belongs_to : int
        Window in which the work was done; an earlier one for late usage.
    """

    window: int
    customer: str
    belongs_to: int
