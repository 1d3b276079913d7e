"""Times that a request is given: until its final answer, and until its return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.outcomes import RefusedNotRun

if TYPE_CHECKING:
    from wisteriagw.outcomes import Outcome
    from wisteriagw.platform import CallerRequest
    from wisteriagw.routes import Route

# Callers honour a Retry-After of up to a third of their remaining time.
RETRY_AFTER_FRACTION = 0.25
MAX_RETRY_AFTER_SECONDS = 0.3


def find_timeout(route: Route, caller: CallerRequest) -> float:
    """Return the seconds within which a request gets its final answer."""
    if caller.timeout is None:
        return route.timeout
    return min(route.timeout, caller.timeout)


def find_retry_after(outcome: Outcome | None, seconds_left: float) -> float:
    """Return the seconds after which a refused caller shall come back.

    Parameters
    ----------
    outcome : Outcome or None
        Outcome of the last attempt; None if the request was cancelled.
    seconds_left : float
        Time until the caller's deadline.
    """
    if isinstance(outcome, RefusedNotRun) and outcome.retry_after is not None:
        return outcome.retry_after
    return min(MAX_RETRY_AFTER_SECONDS, seconds_left * RETRY_AFTER_FRACTION)
