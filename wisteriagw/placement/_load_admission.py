"""Decision to refuse a request because of the queues before its engines."""

from __future__ import annotations

from typing import NamedTuple

# Callers that repeat a request have less time left than the route allows at first; the
# clocks and links of callers account for less than this.
RETURN_TOLERANCE_SECONDS = 0.2
# The protocol states that callers give up a stream after this long without an event, or
# after a multiple of its target or of its longest pause.
MIN_PATIENCE_SECONDS = 2.0
PATIENCE_TARGET_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0
# Part of the longest Retry-After that callers honour at which returns begin at the
# latest.
LATEST_RETURN_START = 0.75


class QueueTerms(NamedTuple):
    """What the caller of a stream gains from waiting.

    Attributes
    ----------
    target_seconds : float
        Time to the first event that the route aims for.
    patience_seconds : float
        Time after which the caller gives up a stream without an event.
    returning : bool
        Whether the caller has waited or been refused before.
    """

    target_seconds: float
    patience_seconds: float
    returning: bool


def find_patience(target_seconds: float, gap_seconds: float) -> float:
    """Return the seconds for which a caller waits for the next event of a stream."""
    return max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_TARGET_FACTOR * target_seconds,
        PATIENCE_GAP_FACTOR * gap_seconds,
    )


def is_returning(route_seconds: float, caller_seconds: float | None) -> bool:
    """Return whether a caller has less time left than at its first attempt."""
    if caller_seconds is None:
        return False
    return caller_seconds < route_seconds - RETURN_TOLERANCE_SECONDS


def is_queue_too_long(queue_seconds: float, terms: QueueTerms) -> bool:
    """Return whether a stream is refused because of the queue that it would join.

    Load: more streams arrive for some seconds than the engines can run. If all of them
    wait, the queue grows until callers give up, and those come again at once. A queue
    beyond the target refuses them at once and spreads their return over the time after
    the burst. A caller that returns may not come again, so it waits as long as it can
    still be served.

    Parameters
    ----------
    queue_seconds : float
        Estimated time that the stream waits for the requests before it.
    terms : QueueTerms
        Terms of the stream.
    """
    return queue_seconds > find_queue_limit(terms)


def find_queue_limit(terms: QueueTerms) -> float:
    """Return the seconds for which a stream may have to wait in a queue."""
    return terms.patience_seconds if terms.returning else terms.target_seconds


def find_queue_return(
    excess_seconds: float, seconds_left: float, random_fraction: float
) -> float:
    """Return the Retry-After of a stream that a queue refused.

    Load: a queue is too long for some seconds, and all that it refuses come back. By
    the measured rates it is short enough once what is beyond the limit has been worked
    off; an earlier return would be refused again. Callers honour up to a third of their
    remaining time. Returns are spread up to its end, from its middle or, if the queue
    takes longer, from then on, but over its last quarter at least: the callers that
    were refused must not return together. Returns before the middle fall into the same
    overload and take the place of fresh streams that could still be in time.

    Parameters
    ----------
    excess_seconds : float
        Estimated seconds until the queue is short enough.
    seconds_left : float
        Time until the caller's deadline.
    random_fraction : float
        Random number in [0, 1).
    """
    longest = max(0.0, seconds_left) / 3
    earliest = min(max(excess_seconds, longest / 2), longest * LATEST_RETURN_START)
    return earliest + (longest - earliest) * random_fraction


def spread_return(seconds_left: float, random_fraction: float) -> float:
    """Return the Retry-After of a request that paused servers refused.

    Callers honour up to a third of their remaining time. The second half of that is
    used, and callers must not return together.

    Parameters
    ----------
    seconds_left : float
        Time until the caller's deadline.
    random_fraction : float
        Random number in [0, 1).
    """
    longest = max(0.0, seconds_left) / 3
    return longest * (0.5 + 0.5 * random_fraction)
