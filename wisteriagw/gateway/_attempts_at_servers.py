"""Attempts at backend servers for one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import TimeoutError

from wisteriagw.connections import ConnectFailedError, ResponseLostError
from wisteriagw.gateway._prompt_reading import PromptReading
from wisteriagw.gateway._work_hold import WorkHold
from wisteriagw.outcomes import Answering, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.platform import reports_not_run

if TYPE_CHECKING:
    from wisteriagw.connections import Response, ResponseHead
    from wisteriagw.gateway._server_access import ServerAccess
    from wisteriagw.outcomes import Outcome
    from wisteriagw.placement import Plan
    from wisteriagw.platform import ForwardingTerms

# A request that may be repeated is given up at a server after this many times its
# target, so that a silent server leaves time for another one.
FIRST_EVENT_TARGETS = 2.0
# Reading at an engine that answers runs at half the speed of the prefill stage.
WHOLE_READING_FACTOR = 2.0
# A server's own failure says less of it than a lost answer: it may lie in the request.
OWN_FAILURE_WEIGHT = 0.2
SERVER_ERROR = 500
MISDIRECTED = 421
NO_SERVER = FailedNotRun("no backend server can take the request")


class AttemptsAtServers:
    """Sends a request to servers and follows it until its answer begins.

    Attributes
    ----------
    server : str
        Backend server of the current attempt; empty if there is none.
    under_way : bool
        Whether the current attempt may run.
    """

    def __init__(self, access: ServerAccess) -> None:
        self.server = ""
        self.under_way = False
        self._access = access
        self._reading = PromptReading(access)
        self._answer: Response | None = None
        self._hold: WorkHold | None = None
        self._counted = False
        self._sent_at = 0.0
        self._expected_tokens = 0.0

    async def attempt(
        self, excluded: tuple[str, ...], last_event: int | None
    ) -> Outcome:
        """Send the request once more and return how that began."""
        self.close()
        self.server = ""
        access = self._access
        plan = access.place(excluded)
        if plan is None:
            return NO_SERVER
        source = await self._reading.read(plan) if plan.prefill else None
        server = access.context.fleet.fleet.servers.get(plan.server)
        if server is None or server.leaving:
            # It began to leave while the prompt was read.
            plan = access.place((*excluded, plan.server))
            if plan is None:
                return NO_SERVER
            server = access.context.fleet.fleet.servers[plan.server]
        self.server = server.name
        resumed = last_event != access.caller.last_event
        terms = access.build_terms(server)._replace(
            source=source,
            fetch_from=None if source else access.find_address(plan.fetch_from),
            last_event=last_event if resumed else None,
        )
        outcome = await self._send(terms, plan)
        access.context.metrics.attempts.labels(
            access.service.name, type(outcome).__name__
        ).inc()
        return outcome

    def note_first_event(self) -> None:
        """Take that the request began to run."""
        if self._hold is None or not self._sent_at:
            return
        self._hold.note_first_event()
        access, context = self._access, self._access.context
        now = context.reactor.seconds()
        context.work.record_success(self.server, now)
        if access.caller.prompt is not None:
            seconds = now - self._sent_at
            context.rates.add_sample(
                access.service.name, self._expected_tokens, seconds
            )
        self._sent_at = 0.0
        self._count_usage()

    def note_answered(self, status: int) -> None:
        """Take that the answer is whole."""
        self.under_way = False
        context = self._access.context
        now = context.reactor.seconds()
        if status < SERVER_ERROR:
            context.work.record_success(self.server, now)
        else:
            context.work.record_failure(self.server, now, OWN_FAILURE_WEIGHT)

    def note_failure(self, reason: str) -> None:
        """Take that the server lost its answer."""
        self._access.note_failure(self.server, reason)

    def close(self) -> None:
        """Give up what is left of the attempts."""
        if self._answer is not None:
            self._answer.abort()
            self._answer = None
        if self._hold is not None:
            self._hold.release()
            self._hold = None
        self._reading.release()

    async def _send(self, terms: ForwardingTerms, plan: Plan) -> Outcome:
        access, context = self._access, self._access.context
        server = terms.server
        tokens = 0.0
        self._expected_tokens = 0.0
        if terms.source is None:
            tokens = plan.uncached_tokens
            waiting = access.count_waiting(server)
            self._expected_tokens = (waiting + tokens) * WHOLE_READING_FACTOR
        self._hold = WorkHold(context.work, server.name, tokens)
        access.note_parts(server.name)
        self._sent_at = context.reactor.seconds()
        try:
            self._answer = await access.send(terms)
        except ConnectFailedError as error:
            self.note_failure(str(error))
            return FailedNotRun(str(error))
        self.under_way = True
        try:
            head = await self._read_head(self._answer)
        except (ResponseLostError, TimeoutError) as error:
            self.note_failure(f"{type(error).__name__} {error}")
            if not access.route.streaming:
                self._count_usage()
            return MayHaveRun(str(error))
        return self._judge(head, terms)

    def _judge(self, head: ResponseHead, terms: ForwardingTerms) -> Outcome:
        if reports_not_run(head):
            self.under_way = False
            if head.status != MISDIRECTED:
                self.note_failure(f"refused with status {head.status}")
            return RefusedNotRun("overloaded", f"backend status {head.status}")
        if not self._access.is_genuine(head):
            self.note_failure(f"answer with status {head.status} lacks its proof")
            return MayHaveRun("the answer is not the backend server's")
        if terms.source is not None:
            self._reading.note_taken()
        if not self._access.route.streaming:
            self._count_usage()
        return Answering(self._answer, head)

    async def _read_head(self, answer: Response) -> ResponseHead:
        access = self._access
        now = access.context.reactor.seconds()
        bound = FIRST_EVENT_TARGETS * access.route.target_seconds
        budget = access.context.budgets.get(access.service.name, now)
        may_repeat = access.route.repeatable and access.route.max_attempts > 1
        if may_repeat and budget.retries >= 1 and bound < (access.deadline - now) / 2:
            return await access.wait_for_head(answer, self.server, bound)
        return await answer.read_head()

    def _count_usage(self) -> None:
        customer = self._access.customer
        if not self._counted and customer is not None:
            self._counted = True
            self._access.context.usage.count(customer.name)
