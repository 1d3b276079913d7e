"""Fake entry VM that runs the real dispatcher."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from wisteriagw.fairness import Refusal
from wisteriagw.measure._attempt import Attempt
from wisteriagw.measure._request_trace import RequestTrace
from wisteriagw.routing import RouteRequest

if TYPE_CHECKING:
    from wisteriagw.dispatch import Dispatched
    from wisteriagw.measure._offered_request import OfferedRequest
    from wisteriagw.measure._simulation import Simulation
    from wisteriagw.routing import PeerLoad

FIRST_TOKEN_TARGET_SECONDS = 1.6
DISPATCH_INTERVAL_SECONDS = 0.05
# Export, transfer and import of the KV cache of one stream.
MIGRATION_SECONDS = 0.3
MAX_ATTEMPTS = 5


class FakeEntry:
    """Submits requests to the dispatcher and sends them to the servers it chooses."""

    def __init__(self, simulation: Simulation, data_centre: str, dispatcher: Any):
        self.simulation = simulation
        self.events = simulation.events
        self.data_centre = data_centre
        self.dispatcher = dispatcher
        self.decision_nanoseconds = 0
        self.usage: Counter[str] = Counter()
        self._waiting: dict[str, Attempt] = {}
        self._pumping = False
        self.events.add(DISPATCH_INTERVAL_SECONDS, self._tick)

    def handle_arrival(self, request: OfferedRequest) -> None:
        """Submit a request that has arrived from a caller."""
        trace = RequestTrace(request)
        self.simulation.traces.append(trace)
        client = self.simulation.deployment.client_latency_seconds
        deadline = request.at + FIRST_TOKEN_TARGET_SECONDS - 2 * client
        self._submit(trace, deadline, imported=False)

    def handle_first_token(self, attempt: Attempt) -> None:
        """Record the first token of an attempt; it arrives after the network delay."""
        trace = attempt.trace
        delay = self.simulation.get_latency(self, attempt.server)
        if trace.first_token_at is None:
            client = self.simulation.deployment.client_latency_seconds
            trace.first_token_at = self.events.now + delay + client
        self.events.add(delay, self._record_first_token, attempt)

    def handle_end(self, attempt: Attempt, tokens: int) -> None:
        """Record the end of an answer; it arrives after the network delay."""
        delay = self.simulation.get_latency(self, attempt.server)
        trace = attempt.trace
        trace.tokens += tokens
        client = self.simulation.deployment.client_latency_seconds
        trace.ended_at = self.events.now + delay + client
        self.usage[trace.request.customer] += tokens
        self.simulation.record_work(attempt, tokens)
        self.events.add(delay, self._record_end, attempt, tokens)

    def handle_heartbeat(
        self, served: dict[str, dict[str, float]], peer: PeerLoad
    ) -> None:
        """Apply the heartbeat of another entry VM."""
        self.dispatcher.apply_served_work(served, self.events.now)
        if self.simulation.policy.peer_loads:
            self.dispatcher.table.apply_peer_load(peer, self.events.now)

    def handle_refusal(self, attempt: Attempt) -> None:
        """Resubmit a request that a server refused without running it."""
        attempt.trace.excluded += (attempt.refused_by,)
        self._end_attempt(attempt, 0)
        self._submit(attempt.trace, float("inf"), imported=False)

    def handle_migration(self, attempt: Attempt, tokens: int) -> None:
        """Resubmit a migrated stream, which continues from its exported KV cache."""
        self._end_attempt(attempt, tokens)
        self.events.add(
            MIGRATION_SECONDS if tokens else 0.0,
            self._resubmit,
            attempt.trace,
            tokens > 0,
        )

    def handle_loss(self, attempt: Attempt, tokens: int) -> None:
        """Resubmit a lost request; a stream resumes by prefill of prompt and tokens."""
        self._end_attempt(attempt, tokens)
        trace = attempt.trace
        request = trace.request
        if request.serves == "service" and not request.repeatable and trace.runs:
            trace.failed = True
            return
        trace.interrupted = trace.interrupted or bool(trace.tokens)
        self._submit(trace, float("inf"), imported=False)

    def _resubmit(self, trace: RequestTrace, imported: bool) -> None:
        self._submit(trace, float("inf"), imported=imported)

    def _end_attempt(self, attempt: Attempt, tokens: int) -> None:
        attempt.trace.tokens += tokens
        self.usage[attempt.trace.request.customer] += tokens
        self.simulation.record_work(attempt, tokens)
        self.dispatcher.record_end(attempt.handle, tokens, self.events.now)

    def _submit(self, trace: RequestTrace, deadline: float, *, imported: bool) -> None:
        request = trace.request
        trace.attempt += 1
        if trace.attempt > MAX_ATTEMPTS:
            trace.failed = True
            return
        handle = f"{request.number}.{trace.attempt}"
        attempt = Attempt(trace, self, handle)
        attempt.imported = imported
        prompt = attempt.prompt_tokens if not imported else 1
        route_request = RouteRequest(
            request.customer,
            request.serves,
            prompt_tokens=prompt if request.serves == "model" else 0,
            max_tokens=request.max_tokens,
            repeatable=request.repeatable,
            excluded=trace.excluded,
            priority=1 if trace.attempt > 1 else 0,
            blocks=() if imported else request.blocks,
        )
        self._waiting[handle] = attempt
        refusal = self.dispatcher.submit(
            handle, route_request, deadline, self.events.now
        )
        if refusal is not None:
            self._refuse(refusal)
        self._dispatch()

    def _tick(self) -> None:
        self.events.add(DISPATCH_INTERVAL_SECONDS, self._tick)
        if self._waiting:
            self._dispatch()

    def _dispatch(self) -> None:
        started = time.process_time_ns()
        results = self.dispatcher.dispatch_queued(self.events.now)
        self.decision_nanoseconds += time.process_time_ns() - started
        for result in results:
            if isinstance(result, Refusal):
                self._refuse(result)
                continue
            self._send(result)

    def _refuse(self, refusal: Refusal) -> None:
        attempt = self._waiting.pop(refusal.handle)
        trace = attempt.trace
        if trace.tokens or trace.attempt > 1:
            trace.failed = True
            return
        trace.refusal_code = refusal.code

    def _send(self, dispatched: Dispatched) -> None:
        attempt = self._waiting.pop(dispatched.handle)
        server = self.simulation.servers[dispatched.decision.chosen]
        delay = self.simulation.get_latency(self, server)
        self.events.add(delay, server.accept, attempt)

    def _record_first_token(self, attempt: Attempt) -> None:
        self.dispatcher.record_first_token(attempt.handle, self.events.now)
        self._dispatch_waiting()

    def _record_end(self, attempt: Attempt, tokens: int) -> None:
        self.dispatcher.record_end(attempt.handle, tokens, self.events.now)
        self._dispatch_waiting()

    def _dispatch_waiting(self) -> None:
        if self._waiting:
            self._dispatch()
