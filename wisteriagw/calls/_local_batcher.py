"""Batcher of the claims of all partitions in this process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.calls._partition_batcher import PartitionBatcher
from wisteriagw.calls._partitions import name_stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from wisteriagw.calls._claim_decision import ClaimDecision
    from wisteriagw.clients import LogClient
    from wisteriagw.records import CallClaimed, CallFinished


class LocalBatcher:
    """ClaimAppender that writes to the log, with one batcher per partition.

    Parameters
    ----------
    name : str
        VM of the process.
    log : LogClient
        Client of the platform's log.
    reactor : object
        Has ``callLater``.
    clock, wall_clock : callable
        Boot-time clock for the follower, wall clock for the batches.
    """

    def __init__(
        self,
        name: str,
        log: LogClient,
        reactor: Any,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._log = log
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._batchers: dict[int, PartitionBatcher] = {}

    def claim(self, partition: int, claim: CallClaimed) -> Deferred[ClaimDecision]:
        """Append a claim with the next batch and return the decision on it."""
        return self._get_batcher(partition).claim(claim)

    def finish(self, partition: int, finished: CallFinished) -> None:
        """Append a result with the next batch."""
        self._get_batcher(partition).finish(finished)

    def _get_batcher(self, partition: int) -> PartitionBatcher:
        if partition not in self._batchers:
            self._batchers[partition] = PartitionBatcher(
                self._name,
                name_stream(partition),
                self._log,
                self._reactor,
                self._clock,
                self._wall_clock,
            )
        return self._batchers[partition]
