"""One of the two attempts of a hedged request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.gateway._request_forwarder import MIN_SERVER_ERROR_STATUS
from wisteriagw.outcomes import Answering

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from wisteriagw.gateway._request_forwarder import RequestForwarder
    from wisteriagw.outcomes import Outcome


class HedgeSide:
    """An attempt with its forwarder, until it has an outcome or is cancelled.

    Attributes
    ----------
    started_at : float
        Time at which the attempt began, in seconds.
    outcome : Outcome, Answering or None
        None while the attempt is running, and after it was cancelled.
    cancelled : bool
        Whether it was cancelled.
    """

    def __init__(self, forwarder: RequestForwarder, now: float) -> None:
        self.forwarder = forwarder
        self.started_at = now
        self.outcome: Outcome | Answering | None = None
        self.cancelled = False
        self.running: Deferred[Any] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the attempt has no outcome yet."""
        return self.outcome is None and not self.cancelled

    def cancel(self) -> None:
        """End the attempt; its forwarder is to be closed, which ends its work."""
        if not self.is_running:
            return
        self.cancelled = True
        if self.running is not None:
            self.running.cancel()


def is_good(outcome: Outcome | Answering) -> bool:
    """Return whether an outcome ends a race: an answer other than a server error."""
    if not isinstance(outcome, Answering):
        return False
    return outcome.head.status < MIN_SERVER_ERROR_STATUS
