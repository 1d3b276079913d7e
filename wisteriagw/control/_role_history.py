"""Role changes that a holder of the authority has ordered."""

from __future__ import annotations

from typing import NamedTuple


class RoleHistory(NamedTuple):
    """Role changes of the engines of one model.

    Attributes
    ----------
    held_since : float
        When the authority was gained. An earlier holder may have ordered a change just
        before, so this counts as the time of a change.
    changes : tuple of tuple of float and str
        Time and role of each change.
    """

    held_since: float
    changes: tuple[tuple[float, str], ...] = ()
