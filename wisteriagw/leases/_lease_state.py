"""State folded from the lease stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.leases._lease_entry import LeaseEntry


class LeaseState(NamedTuple):
    """Leases of all authorities.

    Attributes
    ----------
    start : int
        Offset from which every record was read.
    entries : dict of str to LeaseEntry
        Authorities that have a record at or after ``start``.
    """

    start: int
    entries: dict[str, LeaseEntry]
