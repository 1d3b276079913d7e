"""Conflict of a conditional append."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.eras import StorePosition


class AppendConflictError(Exception):
    """The partition did not end at the position that the append expected."""

    def __init__(self, end: StorePosition) -> None:
        super().__init__(f"the partition ends at {end}")
        self.end = end
