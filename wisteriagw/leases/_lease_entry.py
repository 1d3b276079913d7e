"""Entry of one authority in the lease state."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.leases._lease import Lease


class LeaseEntry(NamedTuple):
    """Lease of an authority with the offsets of its records.

    Attributes
    ----------
    lease : Lease or None
        None if the records that give the lease were removed before they were read.
    last_record, last_checkpoint : int
        Offset of its last record of any kind, and of its last checkpoint; -1 for none.
    """

    lease: Lease | None
    last_record: int
    last_checkpoint: int
