"""Requests that may be hedged."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.routes import Route

MIN_ATTEMPTS = 2


def is_eligible(route: Route, excluded: tuple[str, ...]) -> bool:
    """Return whether the next attempt of a request may be hedged.

    Load: any. Only a first attempt of an idempotent request is hedged, because the
    second attempt may run too. An event of a stream can be followed by that of another
    run only if the stream is resumable.

    Parameters
    ----------
    route : Route
        Route of the request.
    excluded : tuple of str
        Servers of its earlier attempts.
    """
    if excluded or not route.repeatable or route.max_attempts < MIN_ATTEMPTS:
        return False
    return route.resumable or not route.streaming
