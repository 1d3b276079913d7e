"""Exchange with a caller: one request, from its admission to its answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred

from wisteriagw.connections import ResponseLostError
from wisteriagw.gateway._event_splitter import EventSplitter
from wisteriagw.gateway._hedged_attempt import HedgedAttempt
from wisteriagw.gateway._request_forwarder import (
    MIN_SERVER_ERROR_STATUS,
    RequestForwarder,
)
from wisteriagw.gateway._request_times import find_retry_after, find_timeout
from wisteriagw.gateway._request_usage import RequestUsage
from wisteriagw.gateway._server_access import ServerAccess
from wisteriagw.outcomes import Answering, MayHaveRun, RefusedNotRun
from wisteriagw.platform import encode_refusal, filter_headers, is_event_stream
from wisteriagw.retries import Attempts, decide_retry, record_attempt

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder, ResponseHead
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.outcomes import Outcome
    from wisteriagw.platform import CallerRequest
    from wisteriagw.routes import Admitted

logger = logging.getLogger(__name__)

LINE_BREAKS = b"\r\n"


class RequestExchange:
    """Serves one request until it is answered, expires or is abandoned."""

    def __init__(
        self,
        context: GatewayContext,
        request: HttpRequest,
        caller: CallerRequest,
        admitted: Admitted,
        responder: Responder,
    ) -> None:
        self._context = context
        self._caller = caller
        self._route = admitted.route
        self._service = admitted.service
        self._customer = admitted.customer
        self._responder = responder
        self._received_at = context.reactor.seconds()
        self._deadline = self._received_at + find_timeout(admitted.route, caller)
        self._access = ServerAccess(context, request, caller, admitted, self._deadline)
        self._usage = RequestUsage(context.usage, admitted.customer)
        self._forwarder = RequestForwarder(self._access, self._usage)
        self._attempts = Attempts()
        self._error_answer: tuple[ResponseHead, bytes] | None = None
        self._splitter = EventSplitter(caller.last_event)
        self._continuing = False
        self._end_reason = ""
        self._first_event_seconds = 0.0
        self._kind = "stream" if admitted.route.streaming else "call"
        # Whether the request has ended and certainly has not run.
        self.not_run = False

    def start(self) -> Deferred[None]:
        """Serve the request in the background; the result fires when it has ended."""
        reactor = self._context.reactor
        delay = max(0.0, self._deadline - reactor.seconds())
        timer = reactor.callLater(delay, self._cancel, "deadline")
        running = Deferred.fromCoroutine(self._serve())
        self._running = running
        self._responder.on_disconnect = lambda: self._cancel("gone")
        running.addErrback(self._handle_failure)
        return running.addBoth(lambda _: self._clean_up(timer))

    def end(self) -> None:
        """End the request now, because the process exits."""
        self._cancel("shutdown")

    def _cancel(self, reason: str) -> None:
        self._end_reason = reason
        self._running.cancel()

    async def _serve(self) -> None:
        while True:
            forwarder, last_event = self._forwarder, self._splitter.last_id
            if self._continuing:
                outcome = await forwarder.continue_run(last_event)
            elif self._context.hedges is not None:
                hedged = HedgedAttempt(self._access, forwarder, self._usage)
                outcome = await hedged.run(self._attempts, last_event)
                self._forwarder, self._attempts = hedged.forwarder, hedged.attempts
            else:
                outcome = await forwarder.attempt(self._attempts.excluded, last_event)
            server = self._forwarder.server
            if isinstance(outcome, Answering):
                outcome = await self._forward_answer(outcome)
                if outcome is None:
                    return
            if server == "":
                self._answer_failure(outcome, "no_backend_server")
                return
            self._attempts = record_attempt(self._attempts, server, outcome)
            if not await self._should_retry(outcome):
                self._answer_failure(outcome)
                return

    async def _should_retry(self, outcome: Outcome) -> bool:
        context, service = self._context, self._service.name
        now = context.reactor.seconds()
        # A run that goes on from a copy after its last event is not another attempt.
        # Without an event it would be a second run.
        lost = self._responder.started and isinstance(outcome, MayHaveRun)
        self._continuing = lost and self._forwarder.has_backup()
        if not self._continuing:
            if len(self._attempts.excluded) >= self._route.max_attempts:
                return False
            if self._responder.started and not self._route.resumable:
                return False
        decision = decide_retry(
            outcome,
            self._route.repeatable or self._continuing,
            context.budgets.get(service, now),
            self._deadline,
            now,
        )
        if self._continuing and decision.retry:
            ended = await self._forwarder.stop_lost_run()
            reason = "copy" if ended else "may_still_run"
            decision = decision._replace(retry=ended, reason=reason)
        context.log.write(
            "retry",
            request_id=self._caller.request_id,
            service=service,
            after=self._attempts.excluded,
            continuing=self._continuing,
            retry=decision.retry,
            reason=decision.reason,
        )
        if decision.retry:
            context.budgets.consume(service, now)
        return decision.retry

    async def _forward_answer(self, outcome: Answering) -> Outcome | None:
        """Forward an answer; return an outcome if another attempt may follow."""
        head, response = outcome.head, outcome.response
        try:
            if self._route.streaming and head.status == 200 and is_event_stream(head):
                return await self._forward_stream(outcome)
            limits = self._context.configuration.table.limits
            body = await response.read_body(limits.max_body_bytes)
        except ResponseLostError as error:
            # A continued stream repeats the event that was cut, so drop its fragment.
            self._splitter.pop_incomplete()
            self._forwarder.record_loss(error)
            return MayHaveRun(str(error))
        self._forwarder.record_answer(head.status)
        if head.status >= MIN_SERVER_ERROR_STATUS and not self._responder.started:
            self._keep_error_answer(head, body)
            return MayHaveRun(f"status {head.status}")
        if self._responder.started:
            return MayHaveRun(f"status {head.status} to a continued stream")
        self._send_answer(head, body)
        return None

    async def _forward_stream(self, outcome: Answering) -> None:
        responder, response = self._responder, outcome.response
        progress_at = self._context.reactor.seconds()
        parts_read = response.parts_read
        while True:
            part = await self._forwarder.read_part(response, progress_at)
            if part is None:
                break
            events = self._splitter.feed(part, response.parts_read - parts_read)
            parts_read = response.parts_read
            # The wait for the next part must not keep this one.
            del part
            response.keep(self._splitter.incomplete_bytes)
            if not events:
                continue
            progress_at = self._context.reactor.seconds()
            self._forwarder.record_events()
            if not responder.started:
                self._record_first_event()
                responder.start(outcome.head.status, filter_headers(outcome.head))
            responder.write(events)
            await responder.wait_writable()
        rest = self._splitter.pop_incomplete()
        if rest.strip(LINE_BREAKS):
            raise ResponseLostError("the stream ended inside an event")
        if self._splitter.last_id is None and not responder.started:
            raise ResponseLostError("the stream ended without an event")
        if not responder.started:
            responder.start(outcome.head.status, filter_headers(outcome.head))
        responder.write(rest)
        responder.end()
        self._forwarder.record_answer(outcome.head.status)
        self._finish("done", outcome.head.status)

    def _send_answer(self, head: ResponseHead, body: bytes) -> None:
        if head.status < MIN_SERVER_ERROR_STATUS:
            self._record_first_event()
        responder = self._responder
        headers = [p for p in filter_headers(head) if p[0] != b"content-length"]
        responder.reply(head.status, headers, body)
        self._finish(
            "done" if head.status < MIN_SERVER_ERROR_STATUS else "failed", head.status
        )

    def drop_buffer(self, reason: str) -> None:
        """Forget the error answer, because all answers take too much memory."""
        self._error_answer = None

    def _keep_error_answer(self, head: ResponseHead, body: bytes) -> None:
        self._error_answer = (head, body)
        self._context.pool.budget.set_size(self, len(body))

    def _answer_failure(self, outcome: Outcome, code: str = "not_reached") -> None:
        if self._responder.started:
            self._responder.abort()
            self._finish("broken_off", 0, str(outcome))
            return
        if self._error_answer is not None:
            self._send_answer(*self._error_answer)
            return
        if self._attempts.may_have_run:
            self._refuse(502, "may_have_run", str(outcome))
            return
        if isinstance(outcome, RefusedNotRun):
            code = outcome.code
        self._refuse(503, code, str(outcome), self._find_retry_after(outcome))

    def _find_retry_after(self, outcome: Outcome | None = None) -> float:
        left = max(0.0, self._deadline - self._context.reactor.seconds())
        return find_retry_after(outcome, left)

    def _refuse(
        self, status: int, code: str, reason: str, retry_after: float | None = None
    ) -> None:
        headers, body = encode_refusal(
            code, reason, self._caller.request_id, retry_after
        )
        self.not_run = status == 503
        self._responder.reply(status, headers, body)
        self._finish(code, status, reason)

    def _handle_failure(self, failure: Any) -> None:
        """Answer a request that was cancelled, or whose handling failed."""
        may_have_run = self._attempts.may_have_run or self._forwarder.in_flight
        if not failure.check(CancelledError):
            logger.error("request failed: %s", failure.getTraceback())
            self._end_reason = self._end_reason or "internal_error"
        if self._end_reason == "gone":
            self.not_run = not may_have_run
            self._finish("caller_left", 0)
        elif self._responder.started:
            self._responder.abort()
            self._finish("broken_off", 0, self._end_reason)
        elif self._error_answer is not None:
            self._send_answer(*self._error_answer)
        elif may_have_run:
            self._refuse(504, self._end_reason, "no answer in time; it may have run")
        else:
            retry_after = self._find_retry_after()
            self._refuse(503, self._end_reason, "not run in time", retry_after)

    def _clean_up(self, timer: Any) -> None:
        if timer.active():
            timer.cancel()
        self._forwarder.close()
        # Without the cycle, bodies are freed now and not by the garbage collector.
        self._responder.on_disconnect = lambda: None
        self._splitter.pop_incomplete()
        self._error_answer = None
        self._context.pool.budget.set_size(self, 0)

    def _record_first_event(self) -> None:
        seconds = self._context.reactor.seconds() - self._received_at
        self._context.metrics.first_event.labels(self._kind).observe(seconds)
        self._first_event_seconds = seconds

    def _finish(self, outcome: str, status: int, reason: str = "") -> None:
        context = self._context
        context.metrics.requests.labels(self._kind, outcome).inc()
        context.log.write(
            "request",
            request_id=self._caller.request_id,
            route=self._route.name,
            service=self._service.name,
            customer=self._customer.name if self._customer else "",
            config_version=context.configuration.table.version,
            config_age=round(context.configuration.get_age(), 3),
            servers=[*self._attempts.excluded, self._forwarder.server],
            outcome=outcome,
            status=status,
            reason=reason,
            first_event=round(self._first_event_seconds, 4),
            seconds=round(context.reactor.seconds() - self._received_at, 4),
        )
