"""Notices that are in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.notices._departure import Departure

if TYPE_CHECKING:
    from wisteriagw.notices._notice_table import NoticeTable


def list_notices(table: NoticeTable) -> list[tuple[Any, float]]:
    """Return the notices in force, each with the time at which it was given."""
    notices: list[tuple[Any, float]] = []
    for name, condition in table.list_conditions():
        if condition.left_offset >= 0:
            departure = Departure(name, condition.born, condition.left_offset)
            notices.append((departure, condition.left_at))
    return notices
