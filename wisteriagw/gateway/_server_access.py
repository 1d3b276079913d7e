"""Placement of one request and its transport to backend servers."""

from __future__ import annotations

import math
from functools import cached_property
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, TimeoutError

from wisteriagw.crashes import compute_fingerprint
from wisteriagw.gateway._lost_run import LostRun
from wisteriagw.gateway.notices import RequestNotices
from wisteriagw.outcomes import RefusedNotRun
from wisteriagw.placement import (
    choose_backup,
    choose_plan,
    choose_server,
    find_reserved,
    omit_less_urgent,
    view_as_urgent,
)
from wisteriagw.platform import (
    ForwardingTerms,
    belongs_to,
    encode_forwarded,
    is_genuine,
    reports_not_run,
)
from wisteriagw.routes import find_rank

if TYPE_CHECKING:
    from wisteriagw.connections import HttpRequest, Response, ResponseHead
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._context import GatewayContext
    from wisteriagw.placement import Plan, ServerView
    from wisteriagw.platform import CallerRequest
    from wisteriagw.routes import Admitted

# A stream whose pause is this many times as long as the longest one that is on time may
# be lost. Callers wait for eight times that pause, and for 2 s at least, which leaves
# time to continue it.
SILENCE_FACTOR = 4.0
MIN_SILENCE_SECONDS = 0.5
# Time reserved for the transfer of a late answer to the caller.
DEADLINE_MARGIN_SECONDS = 0.01


class ServerAccess:
    """Places a request and sends it as its route and customer require.

    Attributes
    ----------
    context : GatewayContext
        State shared by all requests.
    caller : CallerRequest
        Decoded request of the caller.
    route, service, customer : Route, Service and Customer or None
        Result of the admission.
    deadline : float
        Time at which the caller stops waiting.
    notices : RequestNotices
        Notices of the servers that the request is sent to.
    urgent : bool
        Whether engines admit the request before the less urgent ones of its service.
    overtakes : bool
        Whether it was admitted before a queue because of that.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: HttpRequest,
        caller: CallerRequest,
        admitted: Admitted,
        deadline: float,
    ) -> None:
        self.context = context
        self.caller = caller
        self.route = admitted.route
        self.service = admitted.service
        self.customer = admitted.customer
        self.deadline = deadline
        self._request = request
        self._request_id = caller.request_id.encode("ascii")
        self.notices = RequestNotices(context, self._request_id)
        self._received_at = context.reactor.seconds()
        self.urgent = context.urgent_ranks.is_urgent(
            context.configuration.table, self.service, self.route, self.customer
        )
        self.overtakes = False

    def place(self, excluded: tuple[str, ...]) -> Plan | None:
        """Return where the request goes, or None if no server can take it."""
        context = self.context
        now = context.reactor.seconds()
        views = self._list_views(now)
        plan = self._choose(views, excluded)
        context.log.write(
            "placement",
            request_id=self.caller.request_id,
            service=self.service.name,
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

    def place_urgent(self) -> Plan | None:
        """Return where an urgent request goes if it overtakes the less urgent ones."""
        context = self.context
        now = context.reactor.seconds()
        views = self._list_views(now)
        work = context.work.list_urgent_work((view.name for view in views), now)
        rates = context.rates.get(self.service.name)
        reserved = find_reserved(views, work)
        return self._choose(view_as_urgent(views, work, rates), reserved)

    def _choose(
        self, views: list[ServerView], excluded: tuple[str, ...]
    ) -> Plan | None:
        context, prompt = self.context, self.caller.prompt
        data_centre = context.settings.data_centre
        if self.service.engine is None or prompt is None:
            return choose_server(views, data_centre, context.draw, excluded)
        return choose_plan(
            prompt,
            views,
            context.rates.get(self.service.name),
            self.service.engine,
            data_centre,
            context.draw,
            excluded,
        )

    def find_quarantine(self) -> RefusedNotRun | None:
        """Return the refusal of a request whose parts crash servers, or None."""
        if not self.context.crashing_parts.has_quarantines():
            return None
        quarantine = self.context.crashing_parts.find_quarantine(self._list_parts())
        if quarantine is None:
            return None
        parts = sorted(quarantine.parts)
        left = quarantine.until - self.context.reactor.seconds()
        self.context.log.write(
            "quarantine_refusal",
            request_id=self.caller.request_id,
            service=self.service.name,
            parts=parts,
            age=round(quarantine.seconds - left, 3),
            seconds_left=round(left, 3),
        )
        message = f"servers ended under requests with {', '.join(parts)}"
        return RefusedNotRun("crashing_prompt", message, left)

    def explain_no_server(self, excluded: tuple[str, ...]) -> RefusedNotRun | None:
        """Return the refusal if servers will take the request later, or None."""
        servers = self.context.fleet.fleet.list_service(self.service.name)
        others = [server for server in servers if server.name not in excluded]
        return self.notices.refuse(others, self.deadline)

    def choose_backup(self, running: str) -> BackendServer | None:
        """Return the engine that keeps a copy of the run, or None if none does.

        Only a stream that no other run may continue is copied: the others are run again
        from their prompt, which costs the fleet less than a copy of each.
        """
        engine, route = self.service.engine, self.route
        if engine is None or not engine.keeps_backups or self.caller.prompt is None:
            return None
        if not route.streaming or route.resumable:
            return None
        context = self.context
        views = self._list_views(context.reactor.seconds())
        name = choose_backup(self.caller.request_id, running, views)
        return None if name is None else context.fleet.fleet.servers[name]

    def build_terms(self, server: BackendServer) -> ForwardingTerms:
        """Return the terms of an attempt at a server."""
        priority = None
        if self.service.engine is not None:
            priority = find_rank(self.route, self.customer)
        remaining = self.deadline - self.context.reactor.seconds()
        return ForwardingTerms(
            server,
            remaining - DEADLINE_MARGIN_SECONDS,
            self.customer.name if self.customer is not None else None,
            priority,
        )

    async def send(self, terms: ForwardingTerms) -> Response:
        """Send the request; fails with ConnectFailedError if nothing was sent."""
        return await self.context.pool.send(
            terms.server.address,
            encode_forwarded(self._request, terms),
            lambda head: belongs_to(head, self._request_id),
        )

    @property
    def silence_seconds(self) -> float:
        """Pause within a stream after which its engine is checked."""
        gap = self.route.gap_seconds or self.route.target_seconds
        return max(MIN_SILENCE_SECONDS, SILENCE_FACTOR * gap)

    async def wait_for_head(
        self, response: Response, server: str, timeout: float
    ) -> ResponseHead:
        """Return the head of a response; fails with TimeoutError if there is none.

        An engine that answers other requests in the meantime is busy, not unresponsive,
        and is waited for: another engine would have to repeat the prefill.
        """
        reactor = self.context.reactor
        while True:
            since = reactor.seconds()
            waiting = Deferred.fromCoroutine(response.read_head())
            waiting.addTimeout(timeout, reactor)
            try:
                return await waiting
            except TimeoutError:
                busy = self.context.work.has_answered(server, since)
                if self.caller.prompt is None or not busy:
                    raise

    def reports_not_run(self, head: ResponseHead) -> bool:
        """Return whether an answer states that the request was not executed."""
        return reports_not_run(head, self._request_id)

    def is_genuine(self, head: ResponseHead) -> bool:
        """Return whether an answer was made by a backend server for the request."""
        return is_genuine(head, self._request_id)

    def find_address(self, server: str) -> tuple[str, int] | None:
        """Return the address of a server, None if it is gone."""
        backend_server = self.context.fleet.fleet.servers.get(server)
        return None if backend_server is None else backend_server.address

    def _list_views(self, now: float) -> list[ServerView]:
        context = self.context
        servers = [
            server
            for server in context.fleet.fleet.list_service(self.service.name)
            if not context.work.is_unavailable(server.name, now)
            and not context.notices.find_wait(server, now)
        ]
        return context.work.list_views(servers, self.caller.prompt, now)

    def view_server(self, server: BackendServer) -> ServerView:
        """Return the work at a server that comes first."""
        context = self.context
        now = context.reactor.seconds()
        view = context.work.list_views((server,), None, now)[0]
        if not self.overtakes:
            return view
        # Work that is overtaken would make the measured rates too high.
        found = context.work.list_urgent_work((server.name,), now)
        rates = context.rates.get(self.service.name)
        return omit_less_urgent(view, found.get(server.name, (0.0, 0.0)), rates)

    def record_parts(self, server: str) -> None:
        """Record that an engine caches the parts of the prompt from now on."""
        prompt, engine = self.caller.prompt, self.service.engine
        if prompt is None or engine is None:
            return
        new_parts = self.context.work.parts.record_use(
            server, prompt.parts, engine.capacity_tokens
        )
        self.context.pending_updates.add_parts(server, new_parts)

    def record_sound_answer(self) -> None:
        """Record that a server ran on after it had begun the answer."""
        crashing_parts = self.context.crashing_parts
        if self.caller.prompt is not None:
            crashing_parts.record_sound_answer(self.caller.prompt.list_shared_parts())
        # The sound answers of all other requests would be too many to keep.
        if crashing_parts.has_suspects() and crashing_parts.is_suspect(
            self._fingerprint
        ):
            crashing_parts.record_sound_answer((self._fingerprint,))

    def record_loss(
        self,
        server: str,
        reason: str,
        progress: str,
        came_at: float,
        sound: bool = False,
    ) -> None:
        """Record that the answer of a server was lost with its connection."""
        parts = self._list_parts()
        run = LostRun(self.caller.request_id, progress, came_at, parts, sound)
        self.context.crash_detector.record_loss(server, run)
        self.record_failure(server, reason, progress=progress, parts=parts)

    @cached_property
    def _fingerprint(self) -> str:
        customer = "" if self.customer is None else self.customer.name
        request = self._request
        return compute_fingerprint(request.target, customer, request.body)

    def _list_parts(self) -> tuple[str, ...]:
        prompt = self.caller.prompt
        shared = () if prompt is None else prompt.list_shared_parts()
        return (*shared, self._fingerprint)

    def record_failure(self, server: str, reason: str, **details: Any) -> None:
        """Record that a server failed or refused the request."""
        now = self.context.reactor.seconds()
        self.context.work.record_failure(server, now)
        self.context.log.write(
            "attempt_failed",
            request_id=self.caller.request_id,
            server=server,
            reason=reason,
            seconds=round(now - self._received_at, 4),
            **details,
        )
