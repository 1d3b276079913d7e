"""Decision about requests that arrive while the process is stopping."""

from __future__ import annotations

from typing import NamedTuple

# Part of the stop in which every request is served: callers that have not learned of it
# still come, nearly all requests end long before the exit, and a refusal costs a caller
# one of its few attempts.
EARLY_FRACTION = 0.4


class Stop(NamedTuple):
    """A planned stop of this process.

    Attributes
    ----------
    began_at, exits_at : float
        Times of its beginning and of the exit, at which open requests are ended.
    """

    began_at: float
    exits_at: float


def can_end_before_exit(stop: Stop, timeout: float, now: float) -> bool:
    """Return whether a request is served although the process is stopping.

    Load: callers that learned the address of this VM before the stop send requests
    until the exit. One that is taken late and whose server is slow is cut at the exit,
    and may not be repeated if it may have run. A refusal is true, and another VM serves
    the request at once.

    Parameters
    ----------
    stop : Stop
        The stop.
    timeout : float
        Seconds within which the request gets its final answer.
    now : float
        Time in seconds.
    """
    if now < stop.began_at + EARLY_FRACTION * (stop.exits_at - stop.began_at):
        return True
    return now + timeout <= stop.exits_at
