"""Tests of the order of requests when engines are short of room."""

from __future__ import annotations

import pytest

from tests.support._gateway_fixture import TABLE, GatewayFixture, build_route
from tests.support._simulated_fleet import SimulatedFleet
from tests.support._urgency_play import Load, UrgencyPlay
from wisteriagw.placement import (
    EngineRates,
    ServerView,
    find_queue_return,
    find_reserved,
    omit_less_urgent,
)
from wisteriagw.routes import Customer, find_urgent_rank, index_routes

MIXED = {"urgent": 0.6, "other": 0.9}
# Six decode engines with 8 slots, and four prefill engines for the prompts.
STREAMS = Load(300, 0.8, 54.5, MIXED)
PROMPTS = Load(6_000, 0.2, 35.0, MIXED, prefill_engines=4, target_seconds=1.0)


def play(load: Load, overtaking: bool = True, seed: int = 1) -> UrgencyPlay:
    found = UrgencyPlay(load, overtaking=overtaking, seed=seed)
    found.run()
    return found


class Totals:
    """Sums of several plays, because single ones differ by chance."""

    def __init__(self, load: Load, overtaking: bool) -> None:
        plays = [play(load, overtaking, seed) for seed in range(1, 6)]
        kinds = list(load.kinds)
        self.asked, self.in_time, self.served = (
            {kind: sum(count(found, kind) for found in plays) for kind in kinds}
            for count in (
                lambda found, kind: len(found.list_calls(kind)),
                UrgencyPlay.count_in_time,
                UrgencyPlay.count_served,
            )
        )


class TestOverload:
    """Load: 1.5 of the capacity for 4 s; urgent streams bypass the queue anyway."""

    @pytest.mark.parametrize("load", [STREAMS, PROMPTS])
    def test_urgent_requests_are_in_time_and_others_lose_less(self, load: Load) -> None:
        """Counting all waiting work refuses urgent streams that would be in time."""
        before, after = Totals(load, overtaking=False), Totals(load, overtaking=True)
        gain = after.in_time["urgent"] - before.in_time["urgent"]
        assert before.in_time["urgent"] < 0.7 * before.asked["urgent"]
        assert after.in_time["urgent"] > 0.8 * after.asked["urgent"]
        assert before.in_time["other"] - after.in_time["other"] < gain
        assert 2 * (before.served["other"] - after.served["other"]) < gain

    def test_refusals_are_at_once_and_can_be_honoured(self) -> None:
        """A late refusal, or a Retry-After beyond the third, loses the request."""
        calls = play(PROMPTS).list_calls("other")
        seconds = [wait for call in calls for wait in call.refusal_seconds]
        first = [call.waits[0] for call in calls if call.waits]
        assert seconds and max(seconds) <= 0.021
        assert min(first) >= 1 / 6 - 0.01 and max(first) <= 1 / 3 + 0.01

    def test_others_keep_their_part_of_the_slots(self) -> None:
        """Urgent streams that fill the engines alone must not starve the others."""
        load = STREAMS._replace(kinds={"urgent": 1.6, "other": 0.4})
        before, after = Totals(load, overtaking=False), Totals(load, overtaking=True)
        assert after.served["other"] >= 0.9 * before.served["other"]

    def test_nothing_changes_without_overload(self) -> None:
        """Another draw or plan would change deployments that need no order."""
        load = STREAMS._replace(kinds={"urgent": 0.3, "other": 0.3})
        placements = [
            [values for kind, values in found.lines if kind == "placement"]
            for found in (play(load, overtaking=False), play(load))
        ]
        ids = [[(v["server"], v["estimate"]) for v in lines] for lines in placements]
        assert ids[0] == ids[1] and len(ids[0]) > 100


class TestUrgentViews:
    """The estimate must count what an urgent request really waits for."""

    RATES = EngineRates(50_000.0, 0.06, 1.0)

    def test_equally_urgent_work_and_what_runs_count(self) -> None:
        view = ServerView("d", "north", "decode", 8, 90_000.0, 20.0)
        seen = omit_less_urgent(view, (4_000.0, 3.0), self.RATES)
        assert (seen.waiting_tokens, seen.streams) == (4_000.0 + 1_500.0, 8)
        busy = omit_less_urgent(view, (4_000.0, 12.0), self.RATES)
        assert busy.streams == 12.0

    def test_no_more_counts_than_there_is(self) -> None:
        view = ServerView("d", "north", "decode", 8, 100.0, 2.0)
        assert omit_less_urgent(view, (9_000.0, 9.0), self.RATES) == view

    def test_engine_with_its_part_of_urgent_streams_is_reserved(self) -> None:
        views = [ServerView(name, "north", "decode", 8) for name in "ab"]
        views.append(ServerView("p", "north", "prefill", 8))
        work = {"a": (0.0, 5.0), "b": (0.0, 6.0), "p": (0.0, 9.0)}
        assert find_reserved(views, work) == ("b",)


class TestUrgentRank:
    """Only a service with several ranks has an order."""

    def find(self, ranks: tuple, of_customers: tuple = ()) -> int | None:
        routes = [
            build_route(f"r{index}", "lm", priority=rank)
            for index, rank in enumerate(ranks)
        ]
        routes.append(build_route("elsewhere", "desk", priority=9))
        customers = {f"k{rank}": Customer(f"t-{rank}", rank) for rank in of_customers}
        table = TABLE._replace(routes=index_routes(routes), customers=customers)
        return find_urgent_rank(table, "lm")

    def test_urgent_rank_of_routes_and_customers(self) -> None:
        assert self.find((5, 5)) is None
        assert self.find((2, 5, 9)) == 2
        assert self.find((5,), (7,)) == 5
        assert self.find((5,), (2, None)) == 2
        # One customer above the routes must not leave the urgent route without rank.
        assert self.find((3, 5), (0,)) == 3


class TestReturnTime:
    """A return before the queue is short again is refused again."""

    def test_return_follows_the_queue_within_what_callers_honour(self) -> None:
        assert find_queue_return(0.1, 6.0, 0.0) == pytest.approx(1.0)
        assert find_queue_return(1.3, 6.0, 0.0) == pytest.approx(1.3)
        assert find_queue_return(9.0, 6.0, 0.0) == pytest.approx(1.5)
        times = [find_queue_return(9.0, 6.0, number / 10) for number in range(10)]
        assert len(set(times)) == 10 and max(times) <= 2.0
        assert find_queue_return(1.0, -1.0, 0.5) == 0.0


class TestExchange:
    """Every VM must know the urgent work of all, and older builds must read rows."""

    def test_urgent_work_goes_through_the_relays(self) -> None:
        fleet = SimulatedFleet({"north": 4, "south": 3})
        fleet.advance(3.0)
        for gateway in fleet.gateways.values():
            gateway.work.add("i-1", 100.0, 2)
            gateway.work.add_urgent("i-1", 40.0, 1)
        fleet.advance(2.0)
        for gateway in fleet.gateways.values():
            now = gateway.clock.seconds()
            found = gateway.work.list_urgent_work(["i-1", "i-2"], now)
            assert found == {"i-1": pytest.approx((280.0, 7.0))}
            assert gateway.find_work("i-1") == 14.0
            # Builds without urgent work unpack exactly three fields.
            assert all(len(row) == 3 for row in gateway.work.sum_work(now))


class TestGateway:
    """What a request adds as urgent work must be removed with it."""

    def test_urgent_work_ends_with_the_request(self) -> None:
        gateway = GatewayFixture()
        routes = [
            build_route(name, "lm", streaming=True, priority=rank)
            for name, rank in (("urgent", 0), ("other", 5))
        ]
        table = TABLE._replace(
            routes=index_routes(routes), customers={"k1": Customer("t-1")}
        )
        gateway.configuration.table = table
        gateway.request("other", prompt="300,50")
        servers, now = ["lm-1", "lm-2"], gateway.clock.seconds()
        assert gateway.work.list_urgent_work(servers, now) == {}
        responder = gateway.request("urgent", prompt="300,50", parts="own:300")
        (work,) = gateway.work.list_urgent_work(servers, now).values()
        assert work == (300.0, 1.0)
        responder.on_disconnect()
        assert gateway.work.list_urgent_work(servers, now) == {}
