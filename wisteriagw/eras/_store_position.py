"""Position of a record in a partition of the store."""

from __future__ import annotations

from typing import NamedTuple

OFFSET_BITS = 32


class StorePosition(NamedTuple):
    """Offset in one era; every position of a later era is greater.

    A store that comes back from an older copy gives offsets out again, in a new era.

    Attributes
    ----------
    era : float
        Era of the store; 0 if it names none.
    offset : float
        Offset in the partition.
    """

    era: float
    offset: float

    def encode(self) -> float:
        """Return the position as a number of the same order, in era 0 the offset."""
        if self == FOREVER:
            return self.offset
        return int(self.era) << OFFSET_BITS | int(self.offset)


NOWHERE = StorePosition(float("-inf"), -1.0)
FOREVER = StorePosition(float("inf"), float("inf"))


def decode_position(number: float) -> StorePosition:
    """Return the position of a number; see ``StorePosition.encode``."""
    if number == FOREVER.offset:
        return FOREVER
    era, offset = divmod(int(number), 1 << OFFSET_BITS)
    return StorePosition(era, offset)
