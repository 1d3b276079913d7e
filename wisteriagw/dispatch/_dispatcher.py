"""Dispatcher of an entry VM."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from wisteriagw.dispatch._dispatch_limits import DispatchLimits
from wisteriagw.dispatch._dispatched import Dispatched
from wisteriagw.dispatch._running_request import RunningRequest
from wisteriagw.fairness import (
    FairQueue,
    QueuedRequest,
    Refusal,
    ShareMeter,
    WorkCost,
    compute_work,
)
from wisteriagw.routing import (
    MISSES_DEADLINE,
    PREFIX_BLOCK_TOKENS,
    PrefixIndex,
    WeightLoadBudget,
    choose_backend_server,
    estimate_load_wait,
    reserve_load,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from wisteriagw.routing import LoadTable, RouteRequest, RoutingDecision

# Fraction of a server's slots that customers above their share may fill, so that a
# request of the others finds a free slot at once.
OVER_SHARE_SLOT_FRACTION = 0.75
MAX_RECENT_DECISIONS = 256
OUTPUT_SMOOTHING = 0.05
EXPECTED_OUTPUT_TOKENS = 100.0
# Nonrepeatable calls run only on dependable servers; where there are such calls, half
# of each dependable server is reserved for them.
RESERVED_SLOT_FRACTION = 0.5
# Work of a plain service call in engine seconds; only ratios matter.
SERVICE_CALL_WORK = 0.05


class Dispatcher:
    """Queues requests fairly and places them on backend servers.

    It does no I/O: the caller sends what ``dispatch_queued`` returns and reports the
    results. ``dispatch_queued`` is called after each change and at short intervals.
    """

    def __init__(
        self,
        table: LoadTable,
        weights: Mapping[str, float],
        draw: Callable[[int], int],
        limits: DispatchLimits | None = None,
    ) -> None:
        self.table = table
        self.index = PrefixIndex()
        self.weights = dict(weights)
        self.limits = limits or DispatchLimits()
        self.cost = WorkCost()
        self.decision_count = 0
        self.decisions: deque[tuple[float, RouteRequest, RoutingDecision]] = deque(
            maxlen=MAX_RECENT_DECISIONS
        )
        # Work charged since the last call of ``pop_served_work``, for other entry VMs.
        self._served: dict[str, dict[str, float]] = {}
        self._meters: dict[str, ShareMeter] = {}
        self._load_budget = WeightLoadBudget()
        self._draw = draw
        self._queues: dict[tuple[str, bool], FairQueue] = {}
        self._running: dict[str, RunningRequest] = {}
        self._outputs: dict[tuple[str, int], float] = {}
        self._demand: dict[str, tuple[float, float]] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the customers' weights; the queues and meters share the mapping."""
        self.weights.clear()
        self.weights.update(weights)

    def submit(
        self, handle: str, request: RouteRequest, deadline: float, now: float
    ) -> Refusal | None:
        """Queue a request, or return why it is refused."""
        key = (request.serves, request.repeatable)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = FairQueue(self.weights)
        work = self._estimate_work(request, request.prompt_tokens)
        self._record_demand(request)
        if not self.limits.fair:
            request = request._replace(customer="")
        if queue.add(QueuedRequest(handle, request, now, deadline, work)):
            return None
        message = "too many requests of this customer are waiting"
        return Refusal(handle, "overloaded", message)

    def dispatch_queued(self, now: float) -> list[Dispatched | Refusal]:
        """Return the requests to be sent or refused now."""
        results: list[Dispatched | Refusal] = []
        for queue in self._queues.values():
            while self._place_one(queue, now, results):
                continue
        return results

    def record_first_token(self, handle: str, now: float) -> None:
        """Remove the prompt of a request from the queue of its server."""
        running = self._running.get(handle)
        if running is None or not running.waiting_tokens:
            return
        load = self.table.loads.get(running.backend_server)
        if load is not None:
            load.change(-running.waiting_tokens, 0, now)
        self._running[handle] = running._replace(waiting_tokens=0.0)

    def record_end(self, handle: str, generated_tokens: int, now: float) -> None:
        """Remove a request from its server's load; correct the charge."""
        running = self._running.pop(handle, None)
        if running is None:
            return
        load = self.table.loads.get(running.backend_server)
        if load is not None:
            load.change(-running.waiting_tokens, -1, now)
        if not running.prefill_tokens:
            return
        work = compute_work(self.cost, running.prefill_tokens, generated_tokens)
        self._charge(running.queue_key, running.customer, work - running.work, now)
        mean = self._outputs.get(running.output_key, EXPECTED_OUTPUT_TOKENS)
        mean += OUTPUT_SMOOTHING * (generated_tokens - mean)
        self._outputs[running.output_key] = mean

    def apply_served_work(
        self, served: Mapping[str, Mapping[str, float]], now: float
    ) -> None:
        """Apply the work that another entry VM served.

        Parameters
        ----------
        served : mapping
            Work by customer, by model or service.
        now : float
            Time in seconds.
        """
        for serves, works in served.items():
            meter = self._get_meter(serves)
            for customer, work in works.items():
                meter.add(customer, work, now)
                for repeatable in (False, True):
                    queue = self._queues.get((serves, repeatable))
                    if queue is not None:
                        queue.charge(customer, work)

    def pop_served_work(self) -> dict[str, dict[str, float]]:
        """Return and reset the work served here, for other entry VMs."""
        served, self._served = self._served, {}
        return served

    def pop_demand(self) -> tuple[float, float]:
        """Return and reset the prefill and decode tokens requested."""
        demands = self.pop_demands().values()
        return sum(pair[0] for pair in demands), sum(pair[1] for pair in demands)

    def pop_demands(self) -> dict[str, tuple[float, float]]:
        """Return and reset the demand by model."""
        demands, self._demand = self._demand, {}
        return demands

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def _record_demand(self, request: RouteRequest) -> None:
        if not request.prompt_tokens:
            return
        cached = max(self.index.find(request.blocks).values(), default=0)
        tokens = max(0, request.prompt_tokens - cached * PREFIX_BLOCK_TOKENS)
        prefill, decode = self._demand.get(request.serves, (0.0, 0.0))
        decode += self._estimate_output_tokens(request)
        self._demand[request.serves] = (prefill + tokens, decode)

    def _place_one(
        self, queue: FairQueue, now: float, results: list[Dispatched | Refusal]
    ) -> bool:
        """Place or refuse one request; False if all queued ones have to wait."""
        for queued in queue.list_heads():
            decision, cached = self._decide(queued, now)
            customer = queued.request.customer
            if decision.chosen is not None:
                queue.serve_head(customer)
                blocks = cached.get(decision.chosen, 0)
                self._record_dispatch(queued, decision.chosen, blocks, now)
                results.append(Dispatched(queued.handle, decision))
                return True
            if not decision.waits_for:
                queue.remove_head(customer)
                results.append(explain_refusal(queued, decision))
                return True
            if not any(
                option.reason == MISSES_DEADLINE for option in decision.alternatives
            ):
                # No server accepts requests, so the other customers wait as well.
                return False
        return False

    def _decide(
        self, queued: QueuedRequest, now: float
    ) -> tuple[RoutingDecision, Mapping[str, int]]:
        request = queued.request
        cached = self.index.find(request.blocks)
        views = self.table.list_candidates(request, cached, self._draw, now)
        left = queued.deadline - now if self.limits.refuse_late else math.inf
        decision = choose_backend_server(
            request,
            views,
            now,
            cached,
            self.limits.max_engine_wait,
            left,
            RESERVED_SLOT_FRACTION if (request.serves, False) in self._queues else 0.0,
            OVER_SHARE_SLOT_FRACTION if self._is_over_share(request) else 1.0,
            estimate_load_wait(self._load_budget, now) if request.adapter else 0.0,
        )
        self.decision_count += 1
        self.decisions.append((now, request, decision))
        return decision, cached

    def _record_dispatch(
        self, queued: QueuedRequest, server: str, cached_blocks: int, now: float
    ) -> None:
        request = queued.request
        key = (request.serves, request.repeatable)
        tokens = max(0, request.prompt_tokens - cached_blocks * PREFIX_BLOCK_TOKENS)
        work = self._estimate_work(request, tokens)
        self._charge(key, request.customer, work - queued.work, now)
        self._record_served_work(key[0], request.customer, queued.work, now)
        self.table.loads[server].change(tokens, 1, now)
        if request.adapter and request.adapter not in self.table.views[server].loaded:
            self._load_budget = reserve_load(self._load_budget, now)
            self.table.record_loaded(server, request.adapter)
        self.index.add(server, request.blocks)
        self._running[queued.handle] = RunningRequest(
            server,
            request.customer,
            key,
            tokens,
            tokens,
            work,
            build_output_key(request),
        )

    def _charge(
        self, key: tuple[str, bool], customer: str, work: float, now: float
    ) -> None:
        self._queues[key].charge(customer, work)
        self._record_served_work(key[0], customer, work, now)

    def _record_served_work(
        self, serves: str, customer: str, work: float, now: float
    ) -> None:
        works = self._served.setdefault(serves, {})
        works[customer] = works.get(customer, 0.0) + work
        self._get_meter(serves).add(customer, work, now)

    def _get_meter(self, serves: str) -> ShareMeter:
        meter = self._meters.get(serves)
        if meter is None:
            meter = self._meters[serves] = ShareMeter(self.weights)
        return meter

    def _is_over_share(self, request: RouteRequest) -> bool:
        return self.limits.fair and self._get_meter(request.serves).is_over_share(
            request.customer
        )

    def _estimate_work(self, request: RouteRequest, prefill_tokens: float) -> float:
        if not request.prompt_tokens:
            return SERVICE_CALL_WORK
        return compute_work(
            self.cost, prefill_tokens, self._estimate_output_tokens(request)
        )

    def _estimate_output_tokens(self, request: RouteRequest) -> float:
        return self._outputs.get(build_output_key(request), EXPECTED_OUTPUT_TOKENS)


def build_output_key(request: RouteRequest) -> tuple[str, int]:
    """Return the key of the mean output length: customer and magnitude of the prompt.

    Long prompts of a customer (reports) differ in output length from short questions.
    """
    return request.customer, request.prompt_tokens.bit_length()


def explain_refusal(queued: QueuedRequest, decision: RoutingDecision) -> Refusal:
    """Return the refusal of a request that waiting cannot help."""
    if any(option.reason == MISSES_DEADLINE for option in decision.alternatives):
        message = "the first token would be late; the request was not run"
        return Refusal(queued.handle, "deadline", message)
    message = f"no backend server for {queued.request.serves!r} can take the request"
    return Refusal(queued.handle, "no_backend_server", message)
