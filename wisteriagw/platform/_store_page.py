"""Result of a read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.eras import StorePosition
    from wisteriagw.platform._store_record import StoreRecord


class StorePage(NamedTuple):
    """Records of a partition in offset order.

    Attributes
    ----------
    records : tuple of StoreRecord
        Records that were read.
    next_position : StorePosition
        Position to read from next.
    complete : bool
        False if records before ``next_position`` could not be read: they were removed,
        or the store was restored, and the page is of another era than was asked for.
    at_tip : bool
        Whether the read reached the end of the partition.
    """

    records: tuple[StoreRecord, ...]
    next_position: StorePosition
    complete: bool = True
    at_tip: bool = True
