"""Result of a read from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.platform._store_record import StoreRecord


class StorePage(NamedTuple):
    """Records of a partition in offset order.

    Attributes
    ----------
    records : tuple of StoreRecord
        Records that were read.
    next_offset : int
        Offset to read from next.
    complete : bool
        False if records before ``next_offset`` were removed before they could be read.
    at_tip : bool
        Whether the read reached the end of the partition.
    """

    records: tuple[StoreRecord, ...]
    next_offset: int
    complete: bool = True
    at_tip: bool = True
