"""Bound on the memory that bodies take while they are received."""

from __future__ import annotations

import math
from typing import Any


class BufferBudget:
    """Counts the bytes that the connections of a process buffer.

    Beyond the limit the largest buffer is dropped, so a peer that sends without end
    loses its own answer or request and not those of others.

    Parameters
    ----------
    max_bytes : float
        Limit on the sum of all buffers.

    Attributes
    ----------
    used : int
        Bytes that are buffered now.
    dropped : int
        Number of buffers that were dropped.
    """

    def __init__(self, max_bytes: float = math.inf) -> None:
        self.max_bytes = max_bytes
        self.used = 0
        self.dropped = 0
        self._sizes: dict[Any, int] = {}

    def set_size(self, holder: Any, size: int) -> None:
        """Set the size of a holder's buffer.

        ``drop_buffer(reason)`` of the largest holder is called while the sum exceeds
        the limit; it may be the one whose size is set.
        """
        self.used += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)
        while self.used > self.max_bytes and self._sizes:
            self._drop_largest()

    def reserve(self, size: int) -> None:
        """Count bytes that cannot be dropped; a negative size releases them."""
        self.used += size

    def _drop_largest(self) -> None:
        holder = max(self._sizes, key=self._sizes.__getitem__)
        self.used -= self._sizes.pop(holder)
        self.dropped += 1
        holder.drop_buffer(f"the buffers exceed {self.max_bytes:.0f} bytes")
