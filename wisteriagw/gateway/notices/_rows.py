"""Rows of notices in a message; their times become ages, as clocks are not compared."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.messages import ServerNotices
from wisteriagw.notices import Departure, Pause, RateLimit

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

# Kind of notice by the field of the message that holds its rows.
KINDS = {"departures": Departure, "pauses": Pause, "rate_limits": RateLimit}


def encode_rows(notices: Iterable[tuple[Any, float]], now: float) -> ServerNotices:
    """Return a message with notices, each with the time at which it was given."""
    rows: dict[type, list[tuple]] = {}
    for notice, at in notices:
        rows.setdefault(type(notice), []).append((*notice, now - at))
    return ServerNotices(
        **{field: tuple(rows.get(kind, ())) for field, kind in KINDS.items()}
    )


def decode_rows(reports: ServerNotices, now: float) -> Iterable[tuple[Any, float]]:
    """Return the notices of a message, each with the time at which it was given."""
    found = []
    for field, kind in KINDS.items():
        for *values, age in getattr(reports, field):
            found.append((kind(*values), now - age))
    return found
