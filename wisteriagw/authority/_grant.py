"""Grant of the authority."""

from __future__ import annotations

from typing import NamedTuple


class Grant(NamedTuple):
    """Newest record of the authority.

    Attributes
    ----------
    vm, incarnation : str
        Process that holds the authority.
    fencing_number : int
        One more than that of the previous holder.
    renewal : int
        Number of renewals by the holder.
    """

    vm: str
    incarnation: str
    fencing_number: int
    renewal: int = 0
