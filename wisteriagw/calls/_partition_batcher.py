"""Batcher of the claims of one partition."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, inlineCallbacks, succeed

from wisteriagw.calls._calls_state import build_empty_calls
from wisteriagw.calls._claim_decision import covers_validity_period, decide_claim
from wisteriagw.calls._claim_unavailable import ClaimUnavailable
from wisteriagw.calls._fold import apply_call_record
from wisteriagw.clients import LogUnavailableError
from wisteriagw.follower import StreamFollower
from wisteriagw.records import CallBatch, encode_record

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from wisteriagw.calls._claim_decision import ClaimDecision
    from wisteriagw.clients import LogClient
    from wisteriagw.records import CallClaimed, CallFinished

# One append at a time, and not before this time after the first claim of a batch: at
# most 20 appends per second and partition, whatever the number of calls.
BATCH_DELAY_SECONDS = 0.05
RETRY_DELAY_SECONDS = 1.0
MAX_BATCH_ENTRIES = 200
MAX_QUEUED = 2_000


class PartitionBatcher:
    """Collects claims and results, appends them together and reads them back."""

    def __init__(
        self,
        name: str,
        stream: str,
        log: LogClient,
        reactor: Any,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.dropped_results = 0
        self._name = name
        self._stream = stream
        self._log = log
        self._reactor = reactor
        self._clock = clock
        self._wall_clock = wall_clock
        self._follower = self._build_follower()
        self._claims: deque[tuple[CallClaimed, Deferred[ClaimDecision]]] = deque()
        self._results: deque[CallFinished] = deque()
        self._scheduled = False

    def claim(self, claim: CallClaimed) -> Deferred[ClaimDecision]:
        """Return the decision on a claim once it was appended and read back."""
        if len(self._claims) >= MAX_QUEUED:
            return succeed(ClaimUnavailable("too many claims are waiting"))
        decision: Deferred[ClaimDecision] = Deferred()
        self._claims.append((claim, decision))
        self._schedule(BATCH_DELAY_SECONDS)
        return decision

    def finish(self, finished: CallFinished) -> None:
        """Append a result with a later batch; drops the oldest if the queue is full."""
        if len(self._results) >= MAX_QUEUED:
            self._results.popleft()
            self.dropped_results += 1
        self._results.append(finished)
        self._schedule(BATCH_DELAY_SECONDS)

    def _schedule(self, seconds: float) -> None:
        if self._scheduled:
            return
        self._scheduled = True
        self._reactor.callLater(seconds, self._flush)

    @inlineCallbacks
    def _flush(self) -> Generator[Deferred[Any], Any, None]:
        claims = _pop_up_to(self._claims, MAX_BATCH_ENTRIES)
        results = _pop_up_to(self._results, MAX_BATCH_ENTRIES)
        written = False
        try:
            written = yield self._write(claims, results)
        finally:
            for _, decision in claims:
                if not decision.called:
                    decision.callback(ClaimUnavailable("the batch of the claim failed"))
            # A result that may not have been written is written again; the fold uses
            # the first one. A claim is never written again.
            if not written:
                self._results.extendleft(reversed(results))
            self._scheduled = False
            if self._claims or (self._results and written):
                self._schedule(BATCH_DELAY_SECONDS)
            elif self._results:
                self._schedule(RETRY_DELAY_SECONDS)

    @inlineCallbacks
    def _write(
        self,
        claims: list[tuple[CallClaimed, Deferred[ClaimDecision]]],
        results: list[CallFinished],
    ) -> Generator[Deferred[Any], Any, bool]:
        entries = [encode_record(result) for result in results]
        entries += [encode_record(claim) for claim, _ in claims]
        batch = CallBatch(self._name, self._wall_clock(), entries)
        appended = True
        try:
            yield self._log.append(self._stream, encode_record(batch))
        except LogUnavailableError:
            # The batch may be in the log nevertheless, so it is still read back.
            appended = False
        try:
            yield self._read_to_tip()
        except LogUnavailableError as error:
            for _, decision in claims:
                decision.callback(ClaimUnavailable(f"the log cannot be read: {error}"))
            return appended
        follower = self._follower
        complete = covers_validity_period(
            follower.state, follower.gap_end, self._wall_clock()
        )
        for claim, decision in claims:
            if not complete:
                decision.callback(
                    ClaimUnavailable("claims of the last hour were removed")
                )
                continue
            decision.callback(decide_claim(follower.state, claim))
        return appended

    @inlineCallbacks
    def _read_to_tip(self) -> Generator[Deferred[Any], Any, None]:
        """Read to the tip; start over if records were removed before they were read.

        The state then begins after the gap, and its first batch dates the gap.
        """
        known_offset, known_gap = self._follower.next_offset, self._follower.gap_end
        yield self._follower.poll()
        if known_offset > 0 and self._follower.gap_end != known_gap:
            self._follower = self._build_follower()
            yield self._follower.poll()

    def _build_follower(self) -> StreamFollower:
        return StreamFollower(
            self._log,
            self._stream,
            build_empty_calls(),
            apply_call_record,
            self._clock,
        )


def _pop_up_to(queue: deque[Any], count: int) -> list[Any]:
    return [queue.popleft() for _ in range(min(count, len(queue)))]
