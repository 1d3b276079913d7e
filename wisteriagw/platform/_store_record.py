"""Record of the store."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.eras import UNKNOWN_ERA, StorePosition


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
    era : int
        Era of the store to which the offset belongs.
    """

    offset: int
    key: str
    value: bytes
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> StorePosition:
        """Position in the partition."""
        return StorePosition(self.era, self.offset)
