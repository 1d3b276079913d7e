"""One request of a caller, from its admission to its answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import CancelledError, Deferred

from wisteriagw.connections import ResponseLostError
from wisteriagw.gateway._attempts_at_servers import SERVER_ERROR, AttemptsAtServers
from wisteriagw.gateway._event_splitter import EventSplitter
from wisteriagw.gateway._server_access import ServerAccess
from wisteriagw.outcomes import Answering, MayHaveRun, RefusedNotRun
from wisteriagw.platform import encode_refusal, filter_headers
from wisteriagw.retries import Attempts, decide_retry, record_attempt

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Responder, ResponseHead
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.outcomes import Outcome
    from wisteriagw.platform import CallerRequest
    from wisteriagw.routes import Admitted

logger = logging.getLogger(__name__)

# Callers follow a pause of up to a third of the time that they have left.
RETRY_AFTER_PART = 0.25
MAX_RETRY_AFTER_SECONDS = 0.3


class Exchange:
    """Serves one request; ends when it is answered, expired or abandoned."""

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
        limit = admitted.route.timeout
        if caller.timeout is not None:
            limit = min(limit, caller.timeout)
        self._deadline = self._received_at + limit
        access = ServerAccess(context, request, caller, admitted, self._deadline)
        self._at_servers = AttemptsAtServers(access)
        self._attempts = Attempts()
        self._failure: tuple[ResponseHead, bytes] | None = None
        self._splitter = EventSplitter(caller.last_event)
        self._ended_by = ""
        self._first_event_seconds = 0.0

    def start(self) -> None:
        """Serve the request in the background."""
        reactor = self._context.reactor
        delay = max(0.0, self._deadline - reactor.seconds())
        timer = reactor.callLater(delay, self._cancel, "deadline")
        running = Deferred.fromCoroutine(self._serve())
        self._running = running
        self._responder.on_disconnect = lambda: self._cancel("gone")
        running.addErrback(self._conclude)
        running.addBoth(lambda _: self._clean_up(timer))

    def _cancel(self, reason: str) -> None:
        self._ended_by = reason
        self._running.cancel()

    async def _serve(self) -> None:
        while True:
            outcome = await self._at_servers.attempt(
                self._attempts.excluded, self._splitter.last_id
            )
            server = self._at_servers.server
            if isinstance(outcome, Answering):
                outcome = await self._relay(outcome)
                if outcome is None:
                    return
            if server == "":
                self._refuse(503, "no_backend_server", str(outcome))
                return
            self._attempts = record_attempt(self._attempts, server, outcome)
            if not self._may_repeat(outcome):
                self._answer_failure(outcome)
                return

    def _may_repeat(self, outcome: Outcome) -> bool:
        context, service = self._context, self._service.name
        now = context.reactor.seconds()
        if len(self._attempts.excluded) >= self._route.max_attempts:
            return False
        if self._responder.started and not self._route.resumable:
            return False
        decision = decide_retry(
            outcome,
            self._route.repeatable,
            context.budgets.get(service, now),
            self._deadline,
            now,
        )
        context.log.write(
            "retry",
            request_id=self._caller.request_id,
            service=service,
            after=self._attempts.excluded,
            retry=decision.retry,
            reason=decision.reason,
        )
        if decision.retry:
            context.budgets.take(service, now)
        return decision.retry

    async def _relay(self, outcome: Answering) -> Outcome | None:
        """Pass an answer on; return what happened if that is not the last word."""
        head, answer = outcome.head, outcome.response
        try:
            if self._route.streaming and head.status == 200:
                return await self._relay_stream(outcome)
            body = await answer.read_body()
        except ResponseLostError as error:
            self._at_servers.note_failure(str(error))
            return MayHaveRun(str(error))
        self._at_servers.note_answered(head.status)
        if head.status >= SERVER_ERROR and not self._responder.started:
            self._failure = (head, body)
            return MayHaveRun(f"status {head.status}")
        if self._responder.started:
            return MayHaveRun(f"status {head.status} to a continued stream")
        self._pass_on(head, body)
        return None

    async def _relay_stream(self, outcome: Answering) -> None:
        responder, answer = self._responder, outcome.response
        # An event that the answer before broke off comes again, whole.
        self._splitter.take_rest()
        while True:
            part = await answer.read_part()
            if part is None:
                break
            events = self._splitter.feed(part)
            if not events:
                continue
            self._at_servers.note_first_event()
            if not responder.started:
                self._note_first_event()
                responder.start(outcome.head.status, filter_headers(outcome.head))
            responder.write(events)
        if not responder.started:
            responder.start(outcome.head.status, filter_headers(outcome.head))
        responder.write(self._splitter.take_rest())
        responder.end()
        self._at_servers.note_answered(outcome.head.status)
        self._finish("done", outcome.head.status)

    def _pass_on(self, head: ResponseHead, body: bytes) -> None:
        if head.status < SERVER_ERROR:
            self._note_first_event()
        responder = self._responder
        headers = [p for p in filter_headers(head) if p[0] != b"content-length"]
        responder.reply(head.status, headers, body)
        self._finish("done" if head.status < SERVER_ERROR else "failed", head.status)

    def _answer_failure(self, outcome: Outcome) -> None:
        if self._responder.started:
            self._responder.abort()
            self._finish("broken_off", 0, str(outcome))
            return
        if self._failure is not None:
            self._pass_on(*self._failure)
            return
        if self._attempts.may_have_run:
            self._refuse(502, "may_have_run", str(outcome))
            return
        code = outcome.code if isinstance(outcome, RefusedNotRun) else "not_reached"
        self._refuse(503, code, str(outcome))

    def _refuse(self, status: int, code: str, reason: str) -> None:
        retry_after = None
        if status == 503:
            left = self._deadline - self._context.reactor.seconds()
            retry_after = min(MAX_RETRY_AFTER_SECONDS, max(0, left * RETRY_AFTER_PART))
        headers, body = encode_refusal(
            code, reason, self._caller.request_id, retry_after
        )
        self._responder.reply(status, headers, body)
        self._finish(code, status, reason)

    def _conclude(self, failure: Any) -> None:
        """Answer a request that was stopped, or whose handling failed."""
        may_have_run = self._attempts.may_have_run or self._at_servers.under_way
        if not failure.check(CancelledError):
            logger.error("request failed: %s", failure.getTraceback())
            self._ended_by = self._ended_by or "internal_error"
        if self._ended_by == "gone":
            self._finish("caller_left", 0)
        elif self._responder.started:
            self._responder.abort()
            self._finish("broken_off", 0, self._ended_by)
        elif self._failure is not None:
            self._pass_on(*self._failure)
        elif may_have_run:
            self._refuse(504, self._ended_by, "no answer in time; it may have run")
        else:
            self._refuse(503, self._ended_by, "not run in time")

    def _clean_up(self, timer: Any) -> None:
        if timer.active():
            timer.cancel()
        self._at_servers.close()

    def _note_first_event(self) -> None:
        seconds = self._context.reactor.seconds() - self._received_at
        kind = "stream" if self._route.streaming else "call"
        self._context.metrics.first_event.labels(kind).observe(seconds)
        self._first_event_seconds = seconds

    def _finish(self, outcome: str, status: int, reason: str = "") -> None:
        context = self._context
        kind = "stream" if self._route.streaming else "call"
        context.metrics.requests.labels(kind, outcome).inc()
        context.log.write(
            "request",
            request_id=self._caller.request_id,
            route=self._route.name,
            service=self._service.name,
            customer=self._customer.name if self._customer else "",
            config_version=context.configuration.table.version,
            config_age=round(context.configuration.get_age(), 3),
            servers=[*self._attempts.excluded, self._at_servers.server],
            outcome=outcome,
            status=status,
            reason=reason,
            first_event=round(self._first_event_seconds, 4),
            seconds=round(context.reactor.seconds() - self._received_at, 4),
        )
