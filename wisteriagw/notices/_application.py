"""Application of a notice to what is known of its server."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from wisteriagw.notices._departure import Departure
from wisteriagw.notices._pause import Pause
from wisteriagw.notices._rate_limit import RateLimit

if TYPE_CHECKING:
    from wisteriagw.notices._server_condition import ServerCondition

# A server that names a longer time is asked again after this one.
MAX_PAUSE_SECONDS = 3_600.0


@singledispatch
def apply_notice(
    notice: object, condition: ServerCondition, at: float, delay: float
) -> ServerCondition:
    """Return the condition of a server after a notice.

    Parameters
    ----------
    notice : NamedTuple
        Notice of the process that the condition describes.
    condition : ServerCondition
        What is known without it. It is returned itself if the notice adds nothing.
    at : float
        Time in seconds at which the server gave notice.
    delay : float
        Seconds by which it may have been earlier.
    """
    raise TypeError(f"not a notice: {notice!r}")


@apply_notice.register(Departure)
def _(
    notice: Departure, condition: ServerCondition, at: float, delay: float
) -> ServerCondition:
    if notice.position <= condition.left_position:
        return condition
    return condition._replace(left_position=notice.position, left_at=at)


@apply_notice.register(Pause)
def _(
    notice: Pause, condition: ServerCondition, at: float, delay: float
) -> ServerCondition:
    until = at + min(notice.seconds, MAX_PAUSE_SECONDS)
    if until <= condition.paused_until + delay:
        return condition
    return condition._replace(paused_at=at, paused_until=until)


@apply_notice.register(RateLimit)
def _(
    notice: RateLimit, condition: ServerCondition, at: float, delay: float
) -> ServerCondition:
    if notice.rate == condition.rate or at <= condition.rate_at:
        return condition
    return condition._replace(rate=notice.rate, rate_at=at)
