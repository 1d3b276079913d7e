"""Notices that are in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.eras import NOWHERE
from wisteriagw.notices._departure import Departure
from wisteriagw.notices._pause import Pause
from wisteriagw.notices._rate_limit import RateLimit

if TYPE_CHECKING:
    from wisteriagw.notices._notice_table import NoticeTable

NEVER = float("-inf")


def list_notices(table: NoticeTable, now: float) -> list[tuple[Any, float]]:
    """Return the notices in force, each with the time at which it was given."""
    notices: list[tuple[Any, float]] = []
    for name, condition in table.list_conditions():
        if condition.left_position > NOWHERE:
            departure = Departure(name, condition.born, condition.left_position)
            notices.append((departure, condition.left_at))
        if condition.paused_until > now:
            seconds = condition.paused_until - condition.paused_at
            pause = Pause(name, condition.born, seconds)
            notices.append((pause, condition.paused_at))
        if condition.rate_at > NEVER:
            # The end of a limit is repeated too.
            limit = RateLimit(name, condition.born, condition.rate)
            notices.append((limit, condition.rate_at))
    return notices
