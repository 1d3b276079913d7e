"""First attempt of a request, with a second one if the first is late."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from wisteriagw.connections import ResponseLostError
from wisteriagw.gateway._hedge_account import HedgeAccount
from wisteriagw.gateway._hedge_check import check_hedge
from wisteriagw.gateway._hedge_side import HedgeSide, is_good
from wisteriagw.gateway._request_forwarder import OK_STATUS, RequestForwarder
from wisteriagw.hedging import is_eligible
from wisteriagw.outcomes import Answering, MayHaveRun, RefusedNotRun
from wisteriagw.retries import record_attempt, record_cancelled

if TYPE_CHECKING:
    from wisteriagw.gateway._request_usage import RequestUsage
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.hedging import Quantiles
    from wisteriagw.outcomes import Outcome
    from wisteriagw.retries import Attempts

logger = logging.getLogger(__name__)

OVERLOADED = "overloaded"


class HedgedAttempt:
    """Runs one attempt or two, and returns the first good outcome.

    An attempt is good once the body of an answer below 500 has begun. The other one is
    cancelled then, before any byte is sent to the caller. An attempt that fails leaves
    the other one running; if both fail, both count as attempts.

    Attributes
    ----------
    forwarder : RequestForwarder
        Forwarder of the attempt whose outcome was returned.
    attempts : Attempts
        Earlier attempts, and the one whose outcome was not returned.
    """

    def __init__(
        self, access: ServerAccess, forwarder: RequestForwarder, usage: RequestUsage
    ) -> None:
        self.forwarder = forwarder
        self._access = access
        self._usage = usage
        self._hedges = access.context.hedges
        self._kind = "stream" if access.route.streaming else "call"
        self._second: HedgeSide | None = None
        self._account: HedgeAccount | None = None
        self._timer: Any = None

    async def run(self, attempts: Attempts, last_event: int | None) -> Outcome:
        """Return the first good outcome, or the last one if no attempt succeeds."""
        self.attempts, self._last_event = attempts, last_event
        reactor = self._access.context.reactor
        self._eligible = is_eligible(self._access.route, attempts.excluded)
        self._done: Deferred[Outcome] = Deferred()
        self._first = HedgeSide(self.forwarder, reactor.seconds())
        self._start(self._first, attempts.excluded)
        if self._eligible and self._first.is_running:
            self._set_hedge_timer()
        try:
            return await self._done
        except CancelledError:
            if self._second is not None:
                # The owner of the forwarder tells the caller whether anything may run.
                self.forwarder.in_flight |= self._second.forwarder.in_flight
            raise
        finally:
            self._clean_up()

    def _start(self, side: HedgeSide, excluded: tuple[str, ...]) -> None:
        side.running = Deferred.fromCoroutine(self._attempt(side, excluded))
        side.running.addBoth(lambda result: self._handle_end(side, result))

    async def _attempt(self, side: HedgeSide, excluded: tuple[str, ...]) -> Outcome:
        access, forwarder = self._access, side.forwarder
        outcome = await forwarder.attempt(excluded, self._last_event)
        if isinstance(outcome, RefusedNotRun) and outcome.code == OVERLOADED:
            now = access.context.reactor.seconds()
            self._hedges.record_refusal(access.service.name, now)
        if not self._eligible or not is_good(outcome):
            return outcome
        try:
            now = access.context.reactor.seconds()
            begun = await forwarder.watch(outcome.response.wait_for_body, now)
            if access.route.streaming and outcome.head.status == OK_STATUS:
                _check_begun(begun)
        except ResponseLostError as error:
            forwarder.record_loss(error)
            return MayHaveRun(str(error))
        return outcome

    def _set_hedge_timer(self) -> None:
        access, reactor = self._access, self._access.context.reactor
        quantiles = self._hedges.get_quantiles(
            access.service.name, self._kind, reactor.seconds()
        )
        if quantiles is None:
            return
        self._timer = reactor.callLater(quantiles.late, self._consider_hedge, quantiles)

    def _consider_hedge(self, quantiles: Quantiles) -> None:
        self._timer = None
        access, context = self._access, self._access.context
        now = context.reactor.seconds()
        elapsed = now - self._first.started_at
        check = check_hedge(access, self.forwarder.server, quantiles, elapsed)
        if not check.decision.allowed:
            labels = access.service.name, check.decision.reason
            context.metrics.hedges_denied.labels(*labels).inc()
            return
        second = HedgeSide(RequestForwarder(access, self._usage), now)
        self._second = second
        self._account = HedgeAccount(
            access, self._first, second, check.race_seconds, quantiles
        )
        self._start(second, check.excluded)
        self._account.log_sent()
        if second.is_running:
            self._timer = context.reactor.callLater(
                check.race_seconds, self._give_up_hedge
            )

    def _give_up_hedge(self) -> None:
        """Cancel the hedge, because it has taken the seconds reserved for it."""
        self._timer = None
        self._second.cancel()
        self._record_attempt(self._second)
        self._account.finish("cancelled", "limit")

    def _handle_end(self, side: HedgeSide, result: Any) -> None:
        # A cancelled attempt has no outcome.
        if side.cancelled or self._done.called:
            return
        if isinstance(result, Failure) and side is self._second:
            # A fault in the extra attempt must not fail the request.
            logger.error("hedge failed: %s", result.getTraceback())
            result = MayHaveRun("internal error")
        elif isinstance(result, Failure):
            side.cancelled = True
            self._done.errback(result)
            return
        side.outcome = result
        other = self._first if side is self._second else self._second
        if is_good(result):
            self._accept(side, other)
        elif other is not None and other.is_running:
            self._await_other(side)
        else:
            self._fail(side, other)

    def _accept(self, side: HedgeSide, other: HedgeSide | None) -> None:
        self._record_responses(side, other)
        if other is not None and other.is_running:
            other.cancel()
            self._account.end_race(other)
            self._record_attempt(other)
        elif other is not None and isinstance(other.outcome, Answering):
            self._record_attempt(other)
        if side is self._second:
            self._account.finish("won", "")
        elif self._account is not None:
            self._account.finish("cancelled", "first_answered")
        self._finish(side)

    def _await_other(self, side: HedgeSide) -> None:
        """Let the other attempt go on alone, as a retry does after a failure."""
        self._stop_timer()
        self._account.end_race(self._second)
        if side is self._second:
            self._account.finish("lost", type(side.outcome).__name__)
        # The body of a server error is the answer if the other attempt fails too.
        if not isinstance(side.outcome, Answering):
            self._record_attempt(side)

    def _fail(self, side: HedgeSide, other: HedgeSide | None) -> None:
        if self._account is not None:
            self._account.finish("lost", type(side.outcome).__name__)
        if other is not None and isinstance(other.outcome, Answering):
            self._record_attempt(side)
            side = other
        self._finish(side)

    def _finish(self, side: HedgeSide) -> None:
        self.forwarder = side.forwarder
        self._done.callback(side.outcome)

    def _record_attempt(self, side: HedgeSide) -> None:
        """Record an attempt whose outcome is not returned, and release it."""
        forwarder, outcome = side.forwarder, side.outcome
        if isinstance(outcome, Answering):
            forwarder.record_answer(outcome.head.status)
            outcome = MayHaveRun(f"status {outcome.head.status}")
        forwarder.close()
        if not forwarder.server:
            return
        if side.cancelled:
            self.attempts = record_cancelled(
                self.attempts, forwarder.server, forwarder.in_flight
            )
        else:
            self.attempts = record_attempt(self.attempts, forwarder.server, outcome)

    def _record_responses(self, side: HedgeSide, other: HedgeSide | None) -> None:
        """Record how long the answer took.

        A first attempt that lost would have taken longer still: without its time, each
        hedge that wins would lower the quantile and cause more hedges.
        """
        if not self._eligible:
            return
        now = self._access.context.reactor.seconds()
        timed = [side]
        if side is self._second and other.is_running:
            timed.append(other)
        for attempt in timed:
            self._hedges.record_response(
                self._access.service.name, self._kind, now - attempt.started_at, now
            )

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _clean_up(self) -> None:
        """Release all but the attempt that is returned; the request may have ended."""
        self._stop_timer()
        second = self._second
        if second is not None and second.is_running:
            self._account.finish("cancelled", "request_ended")
        for side in (self._first, second):
            if side is None:
                continue
            side.cancel()
            if side.forwarder is not self.forwarder:
                side.forwarder.close()


def _check_begun(begun: bool) -> None:
    if not begun:
        raise ResponseLostError("the stream ended without an event")
