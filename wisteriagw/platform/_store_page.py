"""Answer to a read of the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.platform._store_record import StoreRecord


class StorePage(NamedTuple):
    """Records of a partition in their order.

    Attributes
    ----------
    records : tuple of StoreRecord
        What was read.
    next_offset : int
        Offset to read from next.
    complete : bool
        False if records before ``next_offset`` are gone and were not read.
    at_tip : bool
        Whether the partition had no more records at the time of the read.
    """

    records: tuple[StoreRecord, ...]
    next_offset: int
    complete: bool = True
    at_tip: bool = True
