"""Conflict of a conditional append."""

from __future__ import annotations


class AppendConflictError(Exception):
    """The partition does not end at the offset that the append expected."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the partition ends at {end_offset}")
        self.end_offset = end_offset
