"""Tests of refusals because of the queues before the engines."""

from __future__ import annotations

import heapq
import random

import pytest

from tests.support._gateway_fixture import GatewayFixture
from wisteriagw.placement import (
    EngineRates,
    Prompt,
    QueueTerms,
    ServerView,
    choose_plan,
    find_patience,
    find_queue_limit,
    find_queue_return,
    is_queue_too_long,
    is_returning,
    spread_return,
    update_stream_seconds,
)
from wisteriagw.routes import EngineTraits

TRAITS = EngineTraits(32, 500_000, 18_432, 370_000.0, 5.0, 3.0)
PROMPT = Prompt("m", 300, 50, (("own", 300),))
TARGET_SECONDS = 0.5
PATIENCE_SECONDS = 2.0
DEADLINE_SECONDS = 8.0


class TestQueueTooLong:
    """A stream that would come late must not make those behind it late too."""

    @pytest.mark.parametrize(
        ("queue", "returning", "refused"),
        [
            (0.0, False, False),
            (0.5, False, False),
            (0.6, False, True),
            (1.9, True, False),
            (2.1, True, True),
        ],
    )
    def test_fresh_and_returning_callers(
        self, queue: float, returning: bool, refused: bool
    ) -> None:
        terms = QueueTerms(0.5, 2.0, returning)
        assert is_queue_too_long(queue, terms) is refused

    def test_patience_is_the_longest_of_its_bounds(self) -> None:
        assert find_patience(0.2, 0.1) == 2.0
        assert find_patience(0.8, 0.1) == pytest.approx(3.2)
        assert find_patience(0.2, 0.5) == 4.0

    def test_less_time_than_the_route_allows_shows_a_return(self) -> None:
        assert is_returning(8.0, 5.0)
        assert not is_returning(8.0, 7.9)
        assert not is_returning(8.0, 8.5)
        assert not is_returning(8.0, None)

    def test_returns_are_spread_within_what_callers_honour(self) -> None:
        times = [spread_return(6.0, number / 10) for number in range(10)]
        assert times[0] == pytest.approx(1.0) and max(times) <= 2.0
        assert len(set(times)) == 10
        assert spread_return(-1.0, 0.5) == 0.0


class TestQueueEstimate:
    """The time until a slot is free follows from how long streams hold it."""

    def estimate(self, stream_seconds: float, streams: float) -> float:
        view = ServerView("d", "north", "decode", 32, streams=streams)
        rates = EngineRates(50_000.0, 0.06, stream_seconds)
        draw = random.Random(1).random
        return choose_plan(PROMPT, [view], rates, TRAITS, "north", draw).queue_seconds

    def test_free_slots_mean_no_queue(self) -> None:
        assert self.estimate(1.0, 31.0) == 0.0

    def test_as_many_waiting_as_running_wait_for_one_stream(self) -> None:
        assert self.estimate(1.5, 63.0) == pytest.approx(1.5)

    def test_queue_of_a_prefill_engine_counts(self) -> None:
        views = [
            ServerView("d", "north", "decode", 32),
            ServerView("p", "north", "prefill", 32, waiting_tokens=50_000.0),
        ]
        long = Prompt("m", 400_000, 50, (("own", 400_000),))
        draw = random.Random(1).random
        plan = choose_plan(long, views, EngineRates(50_000.0), TRAITS, "north", draw)
        assert plan.prefill == "p"
        assert plan.queue_seconds == pytest.approx(1.0)

    def test_stream_seconds_follow_the_measured_ones(self) -> None:
        rates = EngineRates()
        for _ in range(200):
            rates = update_stream_seconds(rates, 0.3)
        assert rates.stream_seconds == pytest.approx(0.3, abs=0.01)


class TestOverload:
    """Load: for 12 s a third more streams arrive than the engines can run."""

    def test_fewer_callers_get_no_answer(self) -> None:
        """Without refusals callers give up in the queue, return at once and give up."""
        in_time, served, asked = simulate_overload(refuse=True)
        in_time_without, served_without, _ = simulate_overload(refuse=False)
        assert asked - served <= 0.5 * (asked - served_without)
        assert in_time >= in_time_without


class TestRefusalByTheGateway:
    """A refusal must be prompt and true, and tell when to return."""

    def fill(self, streams: float) -> GatewayFixture:
        gateway = GatewayFixture()
        rows = [(name, 0.0, streams) for name in ("lm-1", "lm-2")]
        gateway.work.apply_peer_work("peer", rows, gateway.clock.seconds())
        return gateway

    def ask(self, gateway, deadline_ms: int, route: str = "ask"):
        deadline = (b"x-wisteriagw-deadline-ms", b"%d" % deadline_ms)
        return gateway.request(route, deadline=deadline, prompt="300,50")

    def test_fresh_stream_before_a_long_queue_is_refused_at_once(self) -> None:
        gateway = self.fill(16.0)
        responder = self.ask(gateway, 8_000)
        assert responder.status == 503
        assert gateway.pool.sent == []
        assert 8 / 6 - 0.1 <= float(responder.headers[b"retry-after"]) <= 8 / 3

    def test_returning_stream_waits(self) -> None:
        gateway = self.fill(16.0)
        self.ask(gateway, 5_000)
        assert len(gateway.pool.sent) == 1

    def test_hopeless_queue_refuses_returning_streams_too(self) -> None:
        gateway = self.fill(40.0)
        assert self.ask(gateway, 5_000).status == 503

    def test_short_queue_refuses_nobody(self) -> None:
        gateway = self.fill(8.0)
        self.ask(gateway, 8_000)
        assert len(gateway.pool.sent) == 1

    def test_resumed_stream_is_not_refused(self) -> None:
        gateway = self.fill(16.0)
        gateway.request("long", (b"last-event-id", b"7"), prompt="300,50")
        assert len(gateway.pool.sent) == 1


def simulate_overload(refuse: bool, delay: float = 0.4) -> tuple[int, int, int]:
    """Return how many streams started in time, were served at all, and were asked for.

    Each engine runs streams in its slots and queues the others in the order of their
    arrival. Callers give up after their patience and return once. What is known of the
    engines is older than ``delay``.
    """
    source = random.Random(11)
    engines, slots, seconds = 8, 32, 1.2
    capacity = engines * slots / seconds
    rates = EngineRates(50_000.0, 0.06, seconds)
    free_at = [[0.0] * slots for _ in range(engines)]
    history: list[list[tuple[float, float]]] = [[] for _ in range(engines)]
    arrivals = []
    now = 0.0
    while now < 24.0:
        overload = 6.0 <= now < 18.0
        now += source.expovariate(capacity * (1.33 if overload else 0.5))
        arrivals.append((now, len(arrivals), now))
    asked = len(arrivals)
    heapq.heapify(arrivals)
    in_time = served = 0
    while arrivals:
        now, number, first_at = heapq.heappop(arrivals)
        fresh = now == first_at
        left = first_at + DEADLINE_SECONDS - now
        views = []
        for index in range(engines):
            seen = now - delay
            rows = [row for row in history[index] if row[1] > seen]
            history[index] = rows
            streams = sum(row[0] <= seen for row in rows)
            views.append(
                ServerView(f"d{index}", "north", "decode", slots, streams=streams)
            )
        plan = choose_plan(PROMPT, views, rates, TRAITS, "north", source.random)
        terms = QueueTerms(TARGET_SECONDS, PATIENCE_SECONDS, not fresh)
        if refuse and is_queue_too_long(plan.queue_seconds, terms):
            if fresh:
                excess = plan.queue_seconds - find_queue_limit(terms)
                later = now + find_queue_return(excess, left, source.random())
                heapq.heappush(arrivals, (later, number, first_at))
            continue
        index = int(plan.server[1:])
        start = max(now, heapq.heappop(free_at[index]))
        if start - now > PATIENCE_SECONDS:
            # The caller gives up while the stream waits, so its slot stays free.
            heapq.heappush(free_at[index], start)
            history[index].append((now, now + PATIENCE_SECONDS))
            if fresh:
                later = now + PATIENCE_SECONDS
                heapq.heappush(arrivals, (later, number, first_at))
            continue
        heapq.heappush(free_at[index], start + seconds)
        history[index].append((now, start + seconds))
        served += 1
        in_time += start - first_at <= TARGET_SECONDS
    return in_time, served, asked
