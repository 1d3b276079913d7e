"""Attempts at backend servers for one request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, TimeoutError

from wisteriagw.connections import AnswerLostError, ConnectFailedError, HttpRequest
from wisteriagw.gateway._work_hold import WorkHold
from wisteriagw.outcomes import Answering, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.placement import choose_plan, choose_server
from wisteriagw.platform import (
    ForwardingTerms,
    belongs_to,
    build_handle_target,
    decode_handle,
    encode_forwarded,
    is_genuine,
    says_not_run,
)

if TYPE_CHECKING:
    from wisteriagw.connections import Answer, AnswerHead
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.outcomes import Outcome
    from wisteriagw.placement import Plan
    from wisteriagw.platform import CallerRequest
    from wisteriagw.routes import Admitted

# A request that may be repeated is given up at a server after this many times its
# target, so that a silent server leaves time for another one.
FIRST_EVENT_TARGETS = 2.0
# Time kept for the way of a late answer to the caller.
DEADLINE_MARGIN_SECONDS = 0.01
FREE_TIMEOUT_SECONDS = 1.0
# Reading at an engine that answers runs at half the speed of the prefill stage.
WHOLE_READING_FACTOR = 2.0

Source = tuple[tuple[str, int], str]


class AttemptsAtServers:
    """Places a request, sends it and follows it until its answer begins.

    Attributes
    ----------
    server : str
        Backend server of the current attempt; empty if there is none.
    under_way : bool
        Whether the current attempt may run.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: HttpRequest,
        caller: CallerRequest,
        admitted: Admitted,
        received_at: float,
        deadline: float,
    ) -> None:
        self.server = ""
        self.under_way = False
        self._context = context
        self._request = request
        self._request_id = caller.request_id.encode("ascii")
        self._caller = caller
        self._route = admitted.route
        self._service = admitted.service
        self._customer = admitted.customer
        self._received_at = received_at
        self._deadline = deadline
        self._answer: Answer | None = None
        self._hold: WorkHold | None = None
        self._handle: Source | None = None
        self._counted = False
        self._sent_at = 0.0
        self._expected_tokens = 0.0

    async def attempt(
        self, excluded: tuple[str, ...], last_event: int | None
    ) -> Outcome:
        """Send the request once more and return how that began."""
        self._release()
        self.server = ""
        plan = self._place(excluded)
        if plan is None:
            return FailedNotRun("no backend server can take the request")
        source = None
        if plan.prefill:
            source = await self._prefill(plan)
        server = self._context.fleet.fleet.servers.get(plan.server)
        if server is None or server.leaving:
            # It began to leave while the prompt was read.
            plan = self._place((*excluded, plan.server))
            if plan is None:
                return FailedNotRun("no backend server can take the request")
            server = self._context.fleet.fleet.servers[plan.server]
        self.server = server.name
        terms = self._build_terms(server)._replace(
            source=source,
            fetch_from=None if source else self._find_address(plan.fetch_from),
            last_event=None if last_event == self._caller.last_event else last_event,
        )
        outcome = await self._send(server, plan, terms)
        self._context.metrics.attempts.labels(
            self._service.name, type(outcome).__name__
        ).inc()
        return outcome

    def note_first_event(self) -> None:
        """Take that the request began to run."""
        if self._hold is None or not self._sent_at:
            return
        self._hold.note_first_event()
        context = self._context
        context.work.note_success(self.server, context.reactor.seconds())
        seconds = context.reactor.seconds() - self._sent_at
        if self._caller.prompt is not None:
            context.rates.learn(self._service.name, self._expected_tokens, seconds)
        self._sent_at = 0.0
        self._count_usage()

    def note_answered(self, status: int) -> None:
        """Take that the answer is whole."""
        self.under_way = False
        if status < 500:
            self._context.work.note_success(
                self.server, self._context.reactor.seconds()
            )
        else:
            self._context.work.note_failure(
                self.server, self._context.reactor.seconds(), 0.2
            )

    def note_failure(self, reason: str) -> None:
        """Take that the server lost its answer."""
        now = self._context.reactor.seconds()
        self._context.work.note_failure(self.server, now)
        self._context.log.write(
            "attempt_failed",
            request_id=self._caller.request_id,
            server=self.server,
            reason=reason,
            seconds=round(now - self._received_at, 4),
        )

    def close(self) -> None:
        """Give up what is left of the attempts."""
        self._release()

    def _release(self) -> None:
        if self._answer is not None:
            self._answer.abort()
            self._answer = None
        if self._hold is not None:
            self._hold.release()
            self._hold = None
        if self._handle is not None:
            self._free_handle()

    def _place(self, excluded: tuple[str, ...]) -> Plan | None:
        context, prompt = self._context, self._caller.prompt
        now = context.reactor.seconds()
        servers = [
            server
            for server in context.fleet.fleet.list_service(self._service.name)
            if not context.work.is_away(server.name, now)
        ]
        views = context.work.list_views(servers, prompt, now)
        data_centre = context.settings.data_centre
        if self._service.engine is None or prompt is None:
            plan = choose_server(views, data_centre, excluded)
        else:
            plan = choose_plan(
                prompt,
                views,
                context.rates.get(self._service.name),
                self._service.engine,
                data_centre,
                excluded,
            )
        context.log.write(
            "placement",
            request_id=self._caller.request_id,
            service=self._service.name,
            candidates=len(views),
            excluded=excluded,
            server=plan.server if plan else "",
            prefill=plan.prefill if plan else "",
            fetch_from=plan.fetch_from if plan else "",
            estimate=round(plan.seconds, 4) if plan else None,
            fleet_age=round(now - context.fleet.follower.read_at, 3)
            if math.isfinite(context.fleet.follower.read_at)
            else None,
        )
        return plan

    def _build_terms(self, server: BackendServer) -> ForwardingTerms:
        priority = None
        if self._service.engine is not None:
            priority = self._route.priority
            if self._customer is not None and self._customer.priority is not None:
                priority = self._customer.priority
        left = self._deadline - self._context.reactor.seconds()
        return ForwardingTerms(
            server,
            left - DEADLINE_MARGIN_SECONDS,
            self._customer.name if self._customer is not None else None,
            priority,
        )

    def _find_address(self, server: str) -> tuple[str, int] | None:
        known = self._context.fleet.fleet.servers.get(server)
        return None if known is None else known.address

    def _note_parts(self, server: str) -> None:
        prompt, engine = self._caller.prompt, self._service.engine
        if prompt is None or engine is None:
            return
        added = self._context.work.parts.note_use(
            server, prompt.parts, engine.capacity_tokens
        )
        self._context.news.note_parts(server, added)

    async def _prefill(self, plan: Plan) -> Source | None:
        """Have an engine read the prompt; return where its KV cache is, if it is."""
        context = self._context
        server = context.fleet.fleet.servers[plan.prefill]
        waiting = self._count_waiting(server.name)
        hold = WorkHold(context.work, server.name, plan.uncached_tokens)
        self._hold = hold
        self._note_parts(server.name)
        terms = self._build_terms(server)._replace(
            prefill_only=True, fetch_from=self._find_address(plan.fetch_from)
        )
        started = context.reactor.seconds()
        try:
            self._answer = await context.pool.send(
                server.address, encode_forwarded(self._request, terms), self._accepts
            )
            head = await self._answer.read_head()
            body = await self._answer.read_body()
        except (ConnectFailedError, AnswerLostError) as error:
            self.server = server.name
            self.note_failure(f"prefill: {error}")
            return None
        finally:
            hold.release()
        handle = decode_handle(body) if head.status == 200 else None
        if handle is None:
            self.server = server.name
            self.note_failure(f"prefill: status {head.status}")
            return None
        seconds = context.reactor.seconds() - started
        tokens = waiting + plan.uncached_tokens
        context.rates.learn(self._service.name, tokens, seconds)
        context.work.note_success(server.name, context.reactor.seconds())
        self._handle = (server.address, handle)
        context.log.write(
            "prefilled",
            request_id=self._caller.request_id,
            server=server.name,
            fetched_from=plan.fetch_from,
            waiting_tokens=round(waiting),
            uncached_tokens=round(plan.uncached_tokens),
            seconds=round(seconds, 4),
        )
        return self._handle

    async def _send(
        self, server: BackendServer, plan: Plan, terms: ForwardingTerms
    ) -> Outcome:
        context = self._context
        tokens = 0.0 if terms.source is not None else plan.uncached_tokens
        waiting = self._count_waiting(server.name)
        self._expected_tokens = (
            0.0 if terms.source else (waiting + tokens) * WHOLE_READING_FACTOR
        )
        self._hold = WorkHold(context.work, server.name, tokens)
        self._note_parts(server.name)
        request = encode_forwarded(self._request, terms)
        self._sent_at = context.reactor.seconds()
        try:
            self._answer = await context.pool.send(
                server.address, request, self._accepts
            )
        except ConnectFailedError as error:
            self.note_failure(str(error))
            return FailedNotRun(str(error))
        self.under_way = True
        try:
            head = await self._read_head(self._answer)
        except (AnswerLostError, TimeoutError) as error:
            self.note_failure(f"{type(error).__name__} {error}")
            if not self._route.streaming:
                self._count_usage()
            return MayHaveRun(str(error))
        return await self._judge(head, terms)

    async def _judge(self, head: AnswerHead, terms: ForwardingTerms) -> Outcome:
        if says_not_run(head):
            self.under_way = False
            if head.status != 421:
                self.note_failure(f"refused with status {head.status}")
            return RefusedNotRun("overloaded", f"backend status {head.status}")
        if not is_genuine(head, self._request_id):
            self.note_failure(f"answer with status {head.status} lacks its proof")
            return MayHaveRun("the answer is not the backend server's")
        if terms.source is not None:
            # The engine has taken the KV cache.
            self._handle = None
        if not self._route.streaming:
            self._count_usage()
        return Answering(self._answer, head)

    async def _read_head(self, answer: Answer) -> AnswerHead:
        waiting = Deferred.fromCoroutine(answer.read_head())
        now = self._context.reactor.seconds()
        left = self._deadline - now
        if self._route.repeatable and self._route.max_attempts > 1:
            bound = FIRST_EVENT_TARGETS * self._route.target_seconds
            if bound < left / 2:
                waiting.addTimeout(bound, self._context.reactor)
        return await waiting

    def _accepts(self, head: AnswerHead) -> bool:
        return belongs_to(head, self._request_id)

    def _count_waiting(self, server: str) -> float:
        known = self._context.fleet.fleet.servers.get(server)
        if known is None:
            return 0.0
        now = self._context.reactor.seconds()
        return self._context.work.list_views((known,), None, now)[0].waiting_tokens

    def _count_usage(self) -> None:
        if not self._counted and self._customer is not None:
            self._counted = True
            self._context.usage.count(self._customer.name)

    def _free_handle(self) -> None:
        address, handle = self._handle
        self._handle = None
        request = HttpRequest(
            b"DELETE",
            build_handle_target(handle).encode("latin-1"),
            ((b"host", f"{address[0]}:{address[1]}".encode("ascii")),),
        )
        freeing = Deferred.fromCoroutine(self._send_free(address, request))
        freeing.addTimeout(FREE_TIMEOUT_SECONDS, self._context.reactor)
        # A handle that is not freed lapses by itself.
        freeing.addErrback(
            lambda failure: self._context.log.write(
                "handle_not_freed", handle=handle, reason=str(failure.value)
            )
        )

    async def _send_free(self, address: tuple[str, int], request: HttpRequest) -> None:
        answer = await self._context.pool.send(address, request, lambda head: True)
        try:
            await answer.read_body()
        finally:
            answer.abort()
