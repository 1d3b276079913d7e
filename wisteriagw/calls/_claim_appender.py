"""Interface for appending claims to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from wisteriagw.calls._claim_decision import ClaimDecision
    from wisteriagw.records import CallClaimed, CallFinished


class ClaimAppender(Protocol):
    """Appends claims and results to a partition, locally or through another VM."""

    def claim(self, partition: int, claim: CallClaimed) -> Deferred[ClaimDecision]:
        """Append a claim, read it back and return the decision on it; never fails."""

    def finish(self, partition: int, finished: CallFinished) -> None:
        """Append a result asynchronously; it may be lost if the process ends."""
