"""Record of the store."""

from __future__ import annotations

from typing import NamedTuple


class StoreRecord(NamedTuple):
    """A record; its key is set in topics that keep the newest record of each key.

    Attributes
    ----------
    offset : int
        Offset in the partition.
    key : str
        Empty in other topics.
    value : bytes
        Empty in a keyed topic if the key was removed.
    """

    offset: int
    key: str
    value: bytes
