"""Refusal of a conditional append."""

from __future__ import annotations


class AppendConflictError(Exception):
    """The partition does not end where the append expected it to end."""

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the partition ends at {end_offset}")
        self.end_offset = end_offset
