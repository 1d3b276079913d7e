"""Rows of notices in a message; their times become ages, as clocks are not compared."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING, Any

from wisteriagw.eras import StorePosition, decode_position
from wisteriagw.messages import ServerNotices
from wisteriagw.notices import Departure, Pause, RateLimit

if TYPE_CHECKING:
    from collections.abc import Iterable

# Kind of notice by the field of the message that holds its rows.
KINDS = {"departures": Departure, "pauses": Pause, "rate_limits": RateLimit}


def encode_rows(notices: Iterable[tuple[Any, float]], now: float) -> ServerNotices:
    """Return a message with notices, each with the time at which it was given."""
    rows: dict[type, list[tuple]] = {}
    for notice, at in notices:
        values = tuple(map(encode_value, notice))
        rows.setdefault(type(notice), []).append((*values, now - at))
    return ServerNotices(
        **{field: tuple(rows.get(kind, ())) for field, kind in KINDS.items()}
    )


def decode_rows(reports: ServerNotices, now: float) -> Iterable[tuple[Any, float]]:
    """Return the notices of a message, each with the time at which it was given."""
    found = []
    for field, kind in KINDS.items():
        for *values, age in getattr(reports, field):
            notice = kind(*values)
            if kind is Departure:
                notice = notice._replace(position=decode_position(notice.position))
            found.append((notice, now - age))
    return found


@singledispatch
def encode_value(value: Any) -> Any:
    """Return a field of a notice as it stands in a message."""
    return value


@encode_value.register(StorePosition)
def _(value: StorePosition) -> float:
    return value.encode()
