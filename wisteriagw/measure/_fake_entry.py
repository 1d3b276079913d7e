"""Fake entry VM around the real dispatcher."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from wisteriagw.fairness import Refusal
from wisteriagw.measure._answer import Answer
from wisteriagw.measure._attempt import Attempt
from wisteriagw.routing import RouteRequest

if TYPE_CHECKING:
    from wisteriagw.dispatch import Dispatched
    from wisteriagw.measure._offer import Offer
    from wisteriagw.measure._simulation import Simulation
    from wisteriagw.routing import PeerLoad

FIRST_TOKEN_SECONDS = 1.6
TICK_SECONDS = 0.05
# Export, transfer and import of the KV cache of one stream.
HAND_OVER_SECONDS = 0.3
MAX_ATTEMPTS = 5


class FakeEntry:
    """Passes offers to the dispatcher and its results to the fake servers."""

    def __init__(self, simulation: Simulation, data_centre: str, dispatcher: Any):
        self.simulation = simulation
        self.events = simulation.events
        self.data_centre = data_centre
        self.dispatcher = dispatcher
        self.decision_nanoseconds = 0
        self.usage: Counter[str] = Counter()
        self._waiting: dict[str, Attempt] = {}
        self._pumping = False
        self.events.add(TICK_SECONDS, self._tick)

    def arrive(self, offer: Offer) -> None:
        """Take a request of a caller."""
        answer = Answer(offer)
        self.simulation.answers.append(answer)
        client = self.simulation.deployment.client_seconds
        deadline = offer.at + FIRST_TOKEN_SECONDS - 2 * client
        self._submit(answer, deadline, imported=False)

    def hear_first_token(self, attempt: Attempt) -> None:
        """Take the first token of an attempt after the network delay."""
        answer = attempt.answer
        delay = self.simulation.get_distance(self, attempt.server)
        if answer.first_at is None:
            client = self.simulation.deployment.client_seconds
            answer.first_at = self.events.now + delay + client
        self.events.add(delay, self._note_first_token, attempt)

    def hear_end(self, attempt: Attempt, tokens: int) -> None:
        """Take the end of an answer after the network delay."""
        delay = self.simulation.get_distance(self, attempt.server)
        answer = attempt.answer
        answer.tokens += tokens
        client = self.simulation.deployment.client_seconds
        answer.ended_at = self.events.now + delay + client
        self.usage[answer.offer.customer] += tokens
        self.simulation.note_work(attempt, tokens)
        self.events.add(delay, self._note_end, attempt, tokens)

    def hear_heartbeat(
        self, served: dict[str, dict[str, float]], peer: PeerLoad
    ) -> None:
        """Take the heartbeat of another entry VM."""
        self.dispatcher.apply_served_work(served, self.events.now)
        if self.simulation.policy.peer_loads:
            self.dispatcher.table.apply_peer_load(peer, self.events.now)

    def hear_refusal(self, attempt: Attempt) -> None:
        """Send a request that was not run elsewhere."""
        attempt.answer.excluded += (attempt.refused_by,)
        self._leave(attempt, 0)
        self._submit(attempt.answer, float("inf"), imported=False)

    def hear_moved(self, attempt: Attempt, tokens: int) -> None:
        """Go on elsewhere with a stream whose KV cache was exported."""
        self._leave(attempt, tokens)
        self.events.add(
            HAND_OVER_SECONDS if tokens else 0.0, self._move, attempt.answer, tokens > 0
        )

    def hear_cut(self, attempt: Attempt, tokens: int) -> None:
        """Resume a stream that was lost by prefill of the prompt and its tokens."""
        self._leave(attempt, tokens)
        answer = attempt.answer
        offer = answer.offer
        if offer.serves == "service" and not offer.repeatable and answer.runs:
            answer.failed = True
            return
        answer.cut = answer.cut or bool(answer.tokens)
        self._submit(answer, float("inf"), imported=False)

    def _move(self, answer: Answer, imported: bool) -> None:
        self._submit(answer, float("inf"), imported=imported)

    def _leave(self, attempt: Attempt, tokens: int) -> None:
        attempt.answer.tokens += tokens
        self.usage[attempt.answer.offer.customer] += tokens
        self.simulation.note_work(attempt, tokens)
        self.dispatcher.record_end(attempt.handle, tokens, self.events.now)

    def _submit(self, answer: Answer, deadline: float, *, imported: bool) -> None:
        offer = answer.offer
        answer.attempt += 1
        if answer.attempt > MAX_ATTEMPTS:
            answer.failed = True
            return
        handle = f"{offer.number}.{answer.attempt}"
        attempt = Attempt(answer, self, handle)
        attempt.imported = imported
        prompt = attempt.prompt_tokens if not imported else 1
        request = RouteRequest(
            offer.customer,
            offer.serves,
            prompt_tokens=prompt if offer.serves == "model" else 0,
            max_tokens=offer.max_tokens,
            repeatable=offer.repeatable,
            excluded=answer.excluded,
            priority=1 if answer.attempt > 1 else 0,
            blocks=() if imported else offer.blocks,
        )
        self._waiting[handle] = attempt
        refusal = self.dispatcher.submit(handle, request, deadline, self.events.now)
        if refusal is not None:
            self._refuse(refusal)
        self._pump()

    def _tick(self) -> None:
        self.events.add(TICK_SECONDS, self._tick)
        if self._waiting:
            self._pump()

    def _pump(self) -> None:
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
        answer = attempt.answer
        if answer.tokens or answer.attempt > 1:
            answer.failed = True
            return
        answer.refused = refusal.code

    def _send(self, dispatched: Dispatched) -> None:
        attempt = self._waiting.pop(dispatched.handle)
        server = self.simulation.servers[dispatched.decision.chosen]
        delay = self.simulation.get_distance(self, server)
        self.events.add(delay, server.accept, attempt)

    def _note_first_token(self, attempt: Attempt) -> None:
        self.dispatcher.record_first_token(attempt.handle, self.events.now)
        self._pump_waiting()

    def _note_end(self, attempt: Attempt, tokens: int) -> None:
        self.dispatcher.record_end(attempt.handle, tokens, self.events.now)
        self._pump_waiting()

    def _pump_waiting(self) -> None:
        if self._waiting:
            self._pump()
