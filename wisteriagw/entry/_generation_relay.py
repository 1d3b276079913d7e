"""Relay of one generation from engines to a caller."""

from __future__ import annotations

import logging
import secrets
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import inlineCallbacks, succeed

from wisteriagw.backends import StreamPosition
from wisteriagw.entry._engine_messages import (
    MAX_ERROR_BYTES,
    build_resume_path,
    encode_cancel,
    encode_generate_request,
    read_engine_error,
)
from wisteriagw.entry._event_reader import EventReader
from wisteriagw.entry._generation_text import join_tokens
from wisteriagw.entry._service_call import describe_outcome
from wisteriagw.fairness import Refusal
from wisteriagw.http import BodyCollector, classify_failure
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.retries import (
    Attempts,
    StreamLoss,
    StreamStep,
    decide_stream_step,
    record_attempt,
)
from wisteriagw.routing import RouteRequest, estimate_tokens, hash_blocks

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred
    from twisted.web.server import Request

    from wisteriagw.backends import StreamEnd
    from wisteriagw.entry._entry_context import EntryContext
    from wisteriagw.entry._generation_plan import GenerationPlan
    from wisteriagw.outcomes import Outcome
    from wisteriagw.routing import RoutingDecision

logger = logging.getLogger(__name__)

ATTEMPT_ID_BYTES = 4
MAX_RESUMES = 3
# An engine behind a network partition sends no reset. A stream without events for one
# to two of these periods is resumed; a role change makes an engine unavailable for at
# most 10 s.
STALL_SECONDS = 12.0
RESUME_DELAY_SECONDS = 0.1
RESUME_GRACE_SECONDS = 30.0
# Events are buffered up to this number for a continuation at another engine; a longer
# stream can only be resumed at its own engine.
MAX_BUFFERED_EVENTS = 8192
NOT_FOUND = Done(
    404,
    b'{"error": {"code": "not_found", "message": "unknown request", "not_run": false}}',
)


class GenerationRelay:
    """Reads a generation from one engine after another and writes it to one sink.

    Parameters
    ----------
    context : EntryContext
        Clients and accounting of the process.
    request : Request
        Request of the caller.
    sink : StreamSink or BufferedSink
        Writes to the caller.
    plan : GenerationPlan
        Generation to relay.

    Notes
    -----
    ``context.running`` counts the stream under its backend server, and under an empty
    name while it has none.
    """

    def __init__(
        self,
        context: EntryContext,
        request: Request,
        sink: Any,
        plan: GenerationPlan,
    ) -> None:
        self._context = context
        self._request = request
        self._sink = sink
        self._plan = plan
        self._backend_server = ""
        self._handle = ""
        context.running[""] += 1
        self._usage = context.usage.track(plan)
        self._position = StreamPosition(b"", 0)
        self._reader: EventReader | None = None
        self._buffered_events: list[bytes] = []
        # A stream that is resumed by its id was started before.
        self._attempts = Attempts(may_have_run=plan.chat is None)
        self._last_outcome: Outcome | None = None
        self._resumes_left = MAX_RESUMES
        self._closed = False
        self._paused = False
        self._progressed = False
        request.notifyFinish().addErrback(lambda _: self._handle_disconnect())
        request.registerProducer(self, True)
        wait = max(0.0, plan.deadline - context.clock())
        reactor = context.client.reactor
        self._timer = reactor.callLater(wait, self._handle_deadline)
        self._stall_timer = reactor.callLater(STALL_SECONDS, self._check_stall)

    def start(self) -> None:
        """Generate at the backend server that the routing decision chooses."""
        plan = self._plan
        try:
            generated = join_tokens(self._buffered_events)
        except ValueError as error:
            self._refuse(MayHaveRun(str(error)))
            return
        prompt = plan.chat.prompt + generated
        route_request = RouteRequest(
            plan.customer,
            plan.chat.model,
            estimate_tokens(prompt),
            plan.chat.max_tokens,
            excluded=self._attempts.excluded,
            blocks=hash_blocks(plan.customer, plan.chat.adapter, prompt),
            adapter=plan.chat.adapter,
            priority=self._context.get_priority(plan.customer),
        )
        self._handle = secrets.token_hex(ATTEMPT_ID_BYTES)
        placed = self._context.dispatch.place(
            self._request, self._handle, route_request
        )
        placed.addCallback(self._send, route_request, generated)

    def _send(
        self,
        decision: RoutingDecision | Refusal,
        route_request: RouteRequest,
        generated: str,
    ) -> None:
        context, plan = self._context, self._plan
        context.record_decision(plan.request_id, plan.customer, route_request, decision)
        if self._closed:
            context.dispatch.record_end(self._handle, 0)
            return
        if isinstance(decision, Refusal):
            refusal = RefusedNotRun(decision.code, decision.message)
            self._refuse(self._last_outcome or refusal)
            return
        self._set_backend_server(decision.chosen, self._position.next_index)
        priority = context.get_priority(plan.customer)
        data = encode_generate_request(plan, self._position, generated, priority)
        self._open("POST", "/generate", data).addErrback(self._fail)

    def resume(self, backend_server: str, start: int) -> None:
        """Read the generation from an index onwards at its backend server."""
        self._set_backend_server(backend_server, start)
        path = build_resume_path(self._plan, self._position)
        opening = self._open("GET", path, None)
        opening.addErrback(self._fail)

    def write_tokens(self, events: list[bytes]) -> None:
        """Forward the events of an engine to the sink."""
        if self._timer is not None and self._sink.can_resume:
            self._stop_timer()
        self._usage.next_index = self._reader.position.next_index
        self._resumes_left = MAX_RESUMES
        self._progressed = True
        if not self._buffered_events:
            self._context.dispatch.record_first_token(self._handle)
        if len(self._buffered_events) <= MAX_BUFFERED_EVENTS:
            self._buffered_events.extend(events)
        self._sink.write_tokens(events)

    def finish(self, end: StreamEnd) -> None:
        """Complete the caller's response."""
        self._usage.finish(end)
        try:
            self._close()
            self._sink.finish(end)
        except ValueError as error:
            self._sink.refuse(MayHaveRun(str(error)))

    def supersede(self) -> None:
        """End the response because another request took the stream over."""
        self._refuse(MayHaveRun("the stream was resumed by another request"))

    def handle_loss(self, reason: str) -> None:
        """Decide how to proceed after the connection to the engine was lost."""
        self._handle_failure(MayHaveRun(reason), engine_may_hold_generation=True)

    def pauseProducing(self) -> None:
        """Stop reading from the engine until the caller has caught up."""
        self._paused = True
        self._apply_pause()

    def resumeProducing(self) -> None:
        """Resume reading from the engine."""
        self._paused = False
        self._apply_pause()

    def stopProducing(self) -> None:
        """Do nothing: the notification of the disconnect ends the relay."""

    def _set_backend_server(self, backend_server: str, next_index: int) -> None:
        attempt = secrets.token_hex(ATTEMPT_ID_BYTES).encode("ascii")
        self._position = StreamPosition(attempt, next_index)
        if backend_server != self._backend_server:
            self._context.running[self._backend_server] -= 1
            self._context.running[backend_server] += 1
            self._backend_server = backend_server
            self._sink.set_handle(f"{backend_server}.{self._plan.request_id}")

    @inlineCallbacks
    def _open(
        self, method: str, path: str, body: bytes | None
    ) -> Generator[Deferred[Any], Any, None]:
        address = self._context.get_address(self._backend_server)
        if address is None:
            self._handle_failure(
                FailedNotRun("the backend server is not on the sheet"), False
            )
            return
        opening, progress = self._context.client.open(address, method, path, body)
        try:
            response = yield opening
        except Exception as error:
            outcome = classify_failure(error, progress)
            self._handle_failure(outcome, isinstance(outcome, MayHaveRun))
            return
        if response.code == 200 and not self._closed:
            self._usage.record_prompt_figures(response.headers)
            self._reader = EventReader(self, self._position)
            response.deliverBody(self._reader)
            if self._paused:
                self._apply_pause()
            return
        if response.code == 404 and self._plan.chat is None:
            response.deliverBody(BodyCollector(MAX_ERROR_BYTES))
            self._refuse(NOT_FOUND)
            return
        outcome = yield read_engine_error(response, self._context.client.reactor)
        self._handle_failure(outcome, engine_may_hold_generation=False)

    def _fail(self, failure: Any) -> None:
        # Without a response the caller would wait until its own timeout.
        logger.error("unhandled exception in a generation: %s", failure.getTraceback())
        self._refuse(MayHaveRun("internal error"))

    def _handle_failure(
        self, outcome: Outcome, engine_may_hold_generation: bool
    ) -> None:
        if self._closed:
            return
        if self._reader is not None:
            self._position = self._reader.position
            self._reader = None
        self._last_outcome = outcome
        if isinstance(outcome, MayHaveRun):
            self._usage.mark_interrupted()
            self._attempts = self._attempts._replace(may_have_run=True)
        chat = self._plan.chat
        if chat is None:
            may_retry = False
        elif engine_may_hold_generation and self._resumes_left > 0:
            may_retry = True
        else:
            may_retry = self._decide_retry(outcome)
        loss = StreamLoss(
            engine_may_hold_generation,
            self._resumes_left,
            self._sink.sent_tokens,
            may_continue=chat is not None
            and chat.continue_elsewhere
            and len(self._buffered_events) <= MAX_BUFFERED_EVENTS
            and self._position.next_index < chat.max_tokens,
            may_retry=may_retry,
        )
        self._apply_step(decide_stream_step(loss), outcome)

    def _apply_step(self, step: StreamStep, outcome: Outcome) -> None:
        if step is StreamStep.RESUME:
            delay = RESUME_DELAY_SECONDS * (MAX_RESUMES - self._resumes_left)
            self._resumes_left -= 1
            target = (self._backend_server, self._position.next_index)
            self._context.client.reactor.callLater(delay, self._resume_later, *target)
            return
        if step is StreamStep.END:
            self._refuse(outcome)
            return
        self._send_cancel()
        self._context.dispatch.record_end(self._handle, self._position.next_index)
        if step is StreamStep.RESTART:
            self._buffered_events.clear()
            self._sink.reset()
            self._position = StreamPosition(b"", 0)
        self._resumes_left = MAX_RESUMES
        self.start()

    def _resume_later(self, backend_server: str, start: int) -> None:
        if not self._closed:
            self.resume(backend_server, start)

    def _decide_retry(self, outcome: Outcome) -> bool:
        self._attempts = record_attempt(self._attempts, self._backend_server, outcome)
        # A generation may run twice, but its tokens must not be sent twice.
        decision = self._context.retries.decide(outcome, True, self._plan.deadline)
        return decision.retry and self._attempts.may_go_on

    def _refuse(self, result: Any) -> None:
        if self._closed:
            return
        self._close()
        if self._attempts.may_have_run and not isinstance(result, Done):
            result = MayHaveRun(describe_outcome(result))
        self._sink.refuse(result)

    def _handle_deadline(self) -> None:
        self._timer = None
        if self._closed:
            return
        self._cancel_and_count()
        self._refuse(MayHaveRun("no response arrived before the deadline"))

    def _check_stall(self) -> None:
        reactor = self._context.client.reactor
        self._stall_timer = reactor.callLater(STALL_SECONDS, self._check_stall)
        stalled = self._buffered_events and not self._progressed and not self._paused
        self._progressed = False
        if stalled and self._reader is not None:
            self._reader.stop()
            self.handle_loss("no event within the stall timeout")

    def _handle_disconnect(self) -> None:
        """Cancel after the caller has disconnected, a stream after the grace period."""
        if self._closed:
            return
        self._close()
        wait = RESUME_GRACE_SECONDS if self._sink.can_resume else 0.0
        self._context.client.reactor.callLater(wait, self._cancel_and_count)

    def _close(self) -> None:
        self._closed = True
        self._context.dispatch.record_end(self._handle, self._position.next_index)
        self._stall_timer.cancel()
        self._usage.stop()
        self._context.running[self._backend_server] -= 1
        if self._timer is not None:
            self._stop_timer()
        if self._reader is not None:
            self._reader.stop()
            self._reader = None
        if not self._request.disconnected:
            self._request.unregisterProducer()

    def _stop_timer(self) -> None:
        self._timer.cancel()
        self._timer = None

    def _cancel_and_count(self) -> None:
        """Cancel; the figures that the engine reports are billed."""
        self._send_cancel().addCallback(self._usage.record_cancel_reply)

    def _send_cancel(self) -> Deferred[Any]:
        """Cancel the generation unless another request has taken it over since."""
        address = self._context.get_address(self._backend_server)
        if address is None:
            return succeed(None)
        data = encode_cancel(self._plan, self._position)
        send = self._context.client.send
        return send(address, "POST", "/cancel", data, timeout=2.0)

    def _apply_pause(self) -> None:
        if self._reader is None or self._reader.transport is None:
            return
        if self._paused:
            self._reader.transport.pauseProducing()
        else:
            self._reader.transport.resumeProducing()
