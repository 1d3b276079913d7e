"""Tests of the fair queue and the dispatcher."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriagw.dispatch import Dispatched, Dispatcher, DispatchLimits
from wisteriagw.fairness import FairQueue, QueuedRequest, Refusal, ShareMeter
from wisteriagw.routing import BackendView, LoadTable, RouteRequest

MODEL = BackendView("e1", "dc1", "model", "decode", max_streams=1)


def build(*views: BackendView, limits: DispatchLimits | None = None) -> Dispatcher:
    """Return a dispatcher for servers; customer ``large`` has twice the weight."""
    table = LoadTable({})
    table.set_servers(views)
    weights = {"large": 2.0, "small": 1.0}
    return Dispatcher(table, weights, lambda bound: 0, limits)


def serve(dispatcher: Dispatcher, rounds: int) -> list[str]:
    """Serve one request after the other and return the handles in order."""
    order = []
    for number in range(rounds):
        for result in dispatcher.dispatch_queued(number * 0.01):
            assert isinstance(result, Dispatched)
            order.append(result.handle)
            dispatcher.record_end(result.handle, 100, number * 0.01)
    return order


class TestFairShares:
    """Guards against a customer that gets a larger share by sending more requests."""

    @settings(derandomize=True, max_examples=30, deadline=None)
    @given(st.lists(st.integers(50, 4000), min_size=40, max_size=60))
    def test_work_follows_the_weights(self, sizes: list[int]) -> None:
        queue = FairQueue({"large": 2.0, "small": 1.0})
        for number, size in enumerate(sizes):
            for customer in ("large", "small"):
                request = RouteRequest(customer, "model", size)
                queue.add(QueuedRequest(f"{number}", request, 0.0, 9.0, size))
        received = {"large": 0.0, "small": 0.0}
        while len(queue.list_heads()) == 2:
            head = queue.list_heads()[0]
            received[head.request.customer] += head.work
            queue.serve_head(head.request.customer)
        gap = received["large"] / 2.0 - received["small"]
        assert abs(gap) <= 2 * max(sizes)

    def test_work_served_by_other_entry_vms_counts(self) -> None:
        dispatcher = build(MODEL)
        for number in range(3):
            for customer in ("large", "small"):
                request = RouteRequest(customer, "model", 400)
                dispatcher.submit(f"{customer}{number}", request, 9.0, 0.0)
        dispatcher.apply_served_work({"model": {"large": 100.0}}, 0.0)
        order = serve(dispatcher, 6)
        assert order[:3] == ["small0", "small1", "small2"]

    def test_customer_gets_no_credit_for_a_pause(self) -> None:
        queue = FairQueue({})
        for number in range(50):
            request = RouteRequest("busy", "model", 100)
            queue.add(QueuedRequest(str(number), request, 0.0, 9.0, 1.0))
        for _ in range(40):
            queue.serve_head("busy")
        for number in range(10):
            request = RouteRequest("back", "model", 100)
            queue.add(QueuedRequest(f"b{number}", request, 0.0, 9.0, 1.0))
        order = []
        for _ in range(10):
            customer = queue.list_heads()[0].request.customer
            order.append(customer)
            queue.serve_head(customer)
        assert 4 <= order.count("busy") <= 6

    def test_meter_names_only_the_customer_above_its_share(self) -> None:
        meter = ShareMeter({"large": 2.0, "small": 1.0})
        meter.add("large", 20.0, 0.0)
        meter.add("small", 10.0, 0.0)
        assert not meter.is_over_share("large")
        assert not meter.is_over_share("small")
        meter.add("small", 20.0, 0.0)
        assert meter.is_over_share("small")
        meter.add("large", 20.0, 60.0)
        assert not meter.is_over_share("small")


class TestRefusal:
    """Guards against requests that run in vain or wait without a bound."""

    def test_request_that_would_be_late_is_refused_before_it_is_sent(self) -> None:
        dispatcher = build(MODEL)
        request = RouteRequest("small", "model", 40_000)
        assert dispatcher.submit("r", request, 1.6, 0.0) is None
        (refusal,) = dispatcher.dispatch_queued(0.0)
        assert isinstance(refusal, Refusal)
        assert refusal.code == "deadline"
        assert dispatcher.table.loads["e1"].own_streams == 0

    def test_queue_of_a_customer_is_bounded_without_affecting_others(self) -> None:
        dispatcher = build(MODEL)
        refusals = []
        for number in range(400):
            request = RouteRequest("small", "model", 100)
            refusals.append(dispatcher.submit(str(number), request, 9.0, 0.0))
        codes = {refusal.code for refusal in refusals if refusal}
        assert codes == {"overloaded"}
        request = RouteRequest("large", "model", 100)
        assert dispatcher.submit("other", request, 9.0, 0.0) is None

    def test_request_without_a_server_is_refused_at_once(self) -> None:
        dispatcher = build(MODEL)
        dispatcher.submit("r", RouteRequest("small", "unknown", 10), 1.6, 0.0)
        assert dispatcher.dispatch_queued(0.0)[0].code == "no_backend_server"

    def test_waiting_long_prompt_does_not_block_other_customers(self) -> None:
        slow = MODEL._replace(name="e2", prefill_tokens_per_second=100.0, max_streams=9)
        dispatcher = build(MODEL, slow)
        dispatcher.submit("first", RouteRequest("small", "model", 4000), 1.6, 0.0)
        dispatcher.submit("long", RouteRequest("small", "model", 4000), 1.6, 0.0)
        dispatcher.submit("short", RouteRequest("large", "model", 10), 1.6, 0.0)
        sent = [result.handle for result in dispatcher.dispatch_queued(0.0)]
        assert sorted(sent) == ["first", "short"]


class TestWeightStore:
    """Guards against loads beyond the weight store's rate, and unnecessary loads."""

    def test_loads_are_rate_limited_and_a_loaded_adapter_is_preferred(self) -> None:
        servers = [MODEL._replace(name=f"e{i}", max_streams=9) for i in range(3)]
        dispatcher = build(*servers)
        chosen = []
        for number, adapter in enumerate(("x", "x", "y", "z", "z")):
            request = RouteRequest("small", "model", 400, adapter=adapter)
            dispatcher.submit(str(number), request, 5.0, 0.0)
            chosen += [result for result in dispatcher.dispatch_queued(0.0)]
        servers_of = [
            result.decision.chosen if isinstance(result, Dispatched) else result.code
            for result in chosen
        ]
        assert servers_of[0] == servers_of[1]
        assert servers_of[3:] == ["deadline", "deadline"]


class TestTrackedLoad:
    """Guards against a tracked load that includes ended work."""

    def test_end_without_first_token_clears_everything(self) -> None:
        dispatcher = build(MODEL)
        dispatcher.submit("r", RouteRequest("small", "model", 400), 9.0, 0.0)
        dispatcher.dispatch_queued(0.0)
        load = dispatcher.table.loads["e1"]
        assert (load.own_tokens, load.own_streams) == (400, 1)
        dispatcher.record_end("r", 0, 1.0)
        dispatcher.record_end("r", 0, 1.0)
        assert (load.own_tokens, load.own_streams) == (0, 0)

    def test_decisions_are_kept_with_their_alternatives(self) -> None:
        dispatcher = build(MODEL)
        dispatcher.submit("r", RouteRequest("small", "model", 400), 9.0, 0.0)
        dispatcher.dispatch_queued(0.5)
        at, request, decision = dispatcher.decisions[0]
        assert (at, request.customer, decision.chosen) == (0.5, "small", "e1")
        assert decision.alternatives[0].backend_server == "e1"
