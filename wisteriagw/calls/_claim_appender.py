"""Interface of what gets claims into the log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from wisteriagw.calls._judgement import ClaimVerdict
    from wisteriagw.records import CallClaimed, CallFinished


class ClaimAppender(Protocol):
    """Appends claims and results to a partition, here or at another VM."""

    def claim(self, partition: int, claim: CallClaimed) -> Deferred[ClaimVerdict]:
        """Append a claim, read it back and give the verdict; never fails."""

    def finish(self, partition: int, finished: CallFinished) -> None:
        """Append a result some time soon; it may be lost with the process."""
