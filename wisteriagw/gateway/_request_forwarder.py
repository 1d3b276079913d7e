"""Forwarding of one request to backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet.defer import TimeoutError

from wisteriagw.connections import ConnectFailedError, ResponseLostError
from wisteriagw.gateway._attempt_timing import AttemptTiming
from wisteriagw.gateway._engine_unreachable import EngineUnreachableError
from wisteriagw.gateway._loss_detector import LossDetector
from wisteriagw.gateway._prompt_prefill import PromptPrefill
from wisteriagw.gateway._queue_check import QueueCheck
from wisteriagw.gateway._run_stopper import RunStopper
from wisteriagw.gateway._work_reservation import WorkReservation
from wisteriagw.outcomes import Answering, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.placement import Plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.connections import Response, ResponseHead
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._request_usage import RequestUsage
    from wisteriagw.gateway._run_copy import RunCopy
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.outcomes import Outcome
    from wisteriagw.platform import ForwardingTerms

# Timeout for the head of the answer to a repeatable request, in multiples of the
# route's target, so that an unresponsive server leaves time for another attempt.
FIRST_EVENT_TIMEOUT_FACTOR = 2.0
# Prefill on a decode engine runs at half the speed of the prefill stage.
FULL_PREFILL_FACTOR = 2.0
# An error status says less about the server's health than a lost answer, because the
# request may be its cause.
SERVER_ERROR_WEIGHT = 0.2
# An engine that runs on for this long after the first event of an answer does not end
# under it.
SOUND_SECONDS = 1.0
OK_STATUS = 200
MIN_SERVER_ERROR_STATUS = 500
MISDIRECTED_STATUS = 421
NO_SERVER = FailedNotRun("no backend server can take the request")


class RequestForwarder:
    """Sends a request to backend servers and tracks it until its answer begins.

    Attributes
    ----------
    server : str
        Backend server of the current attempt; empty if there is none.
    in_flight : bool
        Whether the backend server may be running the current attempt.
    """

    def __init__(self, access: ServerAccess, usage: RequestUsage) -> None:
        self.server = ""
        self.in_flight = False
        self._access = access
        self._prefill = PromptPrefill(access)
        self._detector = LossDetector(access)
        self._timing = AttemptTiming(access)
        self._response: Response | None = None
        self._reservation: WorkReservation | None = None
        self._usage = usage
        # Start of the attempt, of which _sent_at is reset to 0 with its first event.
        self._came_at = 0.0
        self._sent_at = 0.0
        self._running_since: float | None = None
        self._sound = False
        self._running: BackendServer | None = None
        self._unreachable = False
        self._backup: BackendServer | None = None
        self._run_copy: RunCopy | None = None

    async def attempt(
        self, excluded: tuple[str, ...], last_event: int | None
    ) -> Outcome:
        """Make one attempt and return its outcome up to the head of the answer."""
        self.close()
        self.server = ""
        access = self._access
        refusal = access.find_quarantine()
        if refusal is not None:
            return refusal
        plan = access.place(excluded)
        if plan is None:
            return access.explain_no_server(excluded) or NO_SERVER
        if not excluded:
            plan = QueueCheck(access).check(plan)
            if isinstance(plan, RefusedNotRun):
                return plan
        # Counted before the prefill, during which other requests are placed.
        access.notices.count(plan.server)
        source = await self._prefill.run(plan) if plan.prefill else None
        # The parts may have crashed engines during the prefill.
        refusal = access.find_quarantine() if plan.prefill else None
        if refusal is not None:
            return refusal
        server = access.context.fleet.fleet.servers.get(plan.server)
        if not access.notices.permit(server):
            # The server was removed or gave notice during the prefill.
            excluded = (*excluded, plan.server)
            plan = access.place(excluded)
            if plan is None:
                return access.explain_no_server(excluded) or NO_SERVER
            access.notices.count(plan.server)
            server = access.context.fleet.fleet.servers[plan.server]
        self._backup = access.choose_backup(server.name)
        terms = access.build_terms(server)._replace(
            source=source,
            fetch_from=None if source else access.find_address(plan.fetch_from),
            backup=None if self._backup is None else self._backup.address,
            last_event=self._find_resume_point(last_event),
        )
        return await self._send(terms, plan)

    async def read_part(self, response: Response, progress_at: float) -> bytes | None:
        """Return the next part of a stream whose last event came at a time."""
        return await self.watch(response.read_part, progress_at)

    async def watch(self, read: Callable[[], Any], progress_at: float) -> Any:
        """Return what ``read`` returns of a response that last progressed at a time.

        Fails with EngineUnreachableError if the engine is silent and unreachable, and
        the run can go on elsewhere.
        """
        may_go_on = self.has_backup() and not self._sent_at
        if not self._access.route.resumable and not may_go_on:
            return await read()
        silence = self._access.context.reactor.seconds() - progress_at
        limit = self._access.silence_seconds - silence
        return await self._detector.wait(self.server, read, limit)

    def has_backup(self) -> bool:
        """Return whether another engine may keep a copy of the run that was lost."""
        backup = self._backup
        return backup is not None and self._access.notices.permit_lifetime(backup)

    async def stop_lost_run(self) -> bool:
        """Make sure that the lost run has ended; return whether it can be continued."""
        self.close()
        stopper = RunStopper(self._access, self._backup)
        copy = stopper.get_backup_copy()
        if not self._unreachable:
            copy = await stopper.stop(self._running)
        self._run_copy = copy
        return copy is not None and self._access.notices.permit_lifetime(copy.server)

    async def continue_run(self, last_event: int | None) -> Outcome:
        """Continue the run that was stopped where its KV cache is kept.

        The engine refuses it if no copy arrived before the loss.
        """
        self.close()
        access, (server, source) = self._access, self._run_copy
        self._backup = self._run_copy = None
        refusal = access.find_quarantine()
        if refusal is not None:
            self.server = ""
            return refusal
        access.notices.count(server.name)
        terms = access.build_terms(server)._replace(
            source=source, last_event=self._find_resume_point(last_event)
        )
        return await self._send(terms, Plan(server.name))

    def record_events(self) -> None:
        """Record events of the answer: the request runs."""
        if self._reservation is not None and self._sent_at:
            self._record_first_event()
            return
        if self._sound or self._running_since is None:
            return
        now = self._access.context.reactor.seconds()
        if now - self._running_since >= SOUND_SECONDS:
            self._record_sound_answer()

    def _record_sound_answer(self) -> None:
        self._sound = True
        self._access.record_sound_answer()

    def _record_first_event(self) -> None:
        self._reservation.release_tokens()
        context = self._access.context
        now = context.reactor.seconds()
        context.work.record_success(self.server, now)
        self._timing.record()
        self._sent_at = 0.0
        self._running_since = now
        self._usage.count()

    def record_answer(self, status: int) -> None:
        """Record that the answer is complete."""
        self.in_flight = False
        self._backup = None
        context = self._access.context
        now = context.reactor.seconds()
        if status < MIN_SERVER_ERROR_STATUS:
            if context.hedges is not None:
                context.hedges.budget.count_run(now - self._came_at, now)
            streaming = self._access.route.streaming
            if status == OK_STATUS and (not streaming or self._running_since):
                self._record_sound_answer()
            context.work.record_success(self.server, now)
            if self._running_since is not None:
                seconds = now - self._running_since
                context.rates.add_stream(self._access.service.name, seconds)
        else:
            context.work.record_failure(self.server, now, SERVER_ERROR_WEIGHT)

    def record_loss(self, error: ResponseLostError) -> None:
        """Record that the server's answer was lost after its head had arrived."""
        self._unreachable = isinstance(error, EngineUnreachableError)
        progress = "head" if self._running_since is None else "events"
        self._access.record_loss(
            self.server, str(error), progress, self._came_at, self._sound
        )

    def close(self) -> None:
        """Abort the current attempt and release its resources."""
        if self._response is not None:
            self._response.abort()
            self._response = None
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None
        self._prefill.release()

    def _find_resume_point(self, last_event: int | None) -> int | None:
        """Return the last event if it is later than the one that the caller named."""
        return last_event if last_event != self._access.caller.last_event else None

    async def _send(self, terms: ForwardingTerms, plan: Plan) -> Outcome:
        outcome = await self._exchange_heads(terms, plan)
        self._access.context.metrics.attempts.labels(
            self._access.service.name, type(outcome).__name__
        ).inc()
        return outcome

    async def _exchange_heads(self, terms: ForwardingTerms, plan: Plan) -> Outcome:
        access, context = self._access, self._access.context
        server = terms.server
        self.server = server.name
        self._running = server
        tokens = expected_tokens = 0.0
        if terms.source is None:
            tokens = plan.uncached_tokens
            waiting = access.view_server(server).waiting_tokens
            expected_tokens = (waiting + tokens) * FULL_PREFILL_FACTOR
        self._timing.start(expected_tokens)
        self._reservation = WorkReservation(
            context.work, server.name, tokens, access.urgent
        )
        access.record_parts(server.name)
        self._came_at = self._sent_at = context.reactor.seconds()
        self._running_since = None
        self._sound = False
        try:
            self._response = await access.send(terms)
        except ConnectFailedError as error:
            access.record_failure(server.name, str(error))
            return FailedNotRun(str(error))
        self.in_flight = True
        try:
            head = await self._read_head(self._response)
        except (ResponseLostError, TimeoutError) as error:
            reason = f"{type(error).__name__} {error}"
            access.record_loss(server.name, reason, "nothing", self._came_at)
            if not access.route.streaming:
                self._usage.count()
            return MayHaveRun(str(error))
        access.notices.record(server, head)
        return self._classify_answer(head, terms)

    def _classify_answer(self, head: ResponseHead, terms: ForwardingTerms) -> Outcome:
        if self._access.reports_not_run(head):
            self.in_flight = False
            if head.status != MISDIRECTED_STATUS:
                reason = f"refused with status {head.status}"
                self._access.record_failure(self.server, reason)
            return RefusedNotRun("overloaded", f"backend status {head.status}")
        if not self._access.is_genuine(head):
            reason = f"answer with status {head.status} is not genuine"
            self._access.record_failure(self.server, reason)
            return MayHaveRun("the answer is not the backend server's")
        if terms.source is not None:
            self._prefill.record_fetched()
        if not self._access.route.streaming:
            self._usage.count()
        return Answering(self._response, head)

    async def _read_head(self, response: Response) -> ResponseHead:
        access = self._access
        now = access.context.reactor.seconds()
        timeout = FIRST_EVENT_TIMEOUT_FACTOR * access.route.target_seconds
        budget = access.context.budgets.get(access.service.name, now)
        may_repeat = access.route.repeatable and access.route.max_attempts > 1
        if may_repeat and budget.retries >= 1 and timeout < (access.deadline - now) / 2:
            return await access.wait_for_head(response, self.server, timeout)
        return await response.read_head()
