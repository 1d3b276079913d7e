"""Plays of a load through the real decisions about servers and stages."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred

from tests.support._gateway_fixture import SETTINGS, GatewayFixture
from tests.support._scaling_play import CENTRES, MAX_SERVERS, ScalingPlay
from wisteriagw.gateway._authority_duties import AuthorityDuties
from wisteriagw.notices import RateLimit
from wisteriagw.outcomes import Done
from wisteriagw.roles import StageNeed
from wisteriagw.roles._demand_split import choose_lacking_stage
from wisteriagw.spending import CentreOrder, DataCentreCapacity, plan_centre
from wisteriagw.spending._demand_target import count_needed

FLOOR = MAX_SERVERS // 3
PEAK = (4.0, 6.0)


def start(load=PEAK, count: int = MAX_SERVERS, settle: float = 0.0) -> ScalingPlay:
    """Return a play whose load is constant, after some seconds."""
    play = ScalingPlay()
    play.fill(count)
    play.load = lambda now: load
    play.run(settle)
    play.orders.clear()
    play.lack_seconds = play.server_seconds = 0.0
    return play


class TestServersSaved:
    """Idle servers must not be billed, and orders must be few."""

    def test_calm_hour_costs_less_than_half_of_the_maximum(self) -> None:
        play = start((0.5, 1.5))
        play.run(3600.0)
        assert play.server_seconds < 0.5 * 3 * MAX_SERVERS * 3600
        assert play.lack_seconds == 0
        assert play.count() == 3 * FLOOR
        # One order for each release, and none to keep what is there.
        released = [count for _, name, count in play.orders if name == "north"]
        assert released == [8, 6, 5, 4]
        assert len(play.orders) == 3 * len(released)

    def test_a_data_centre_releases_once_in_ten_seconds(self) -> None:
        play = start((0.5, 1.5))
        play.run(200.0)
        for name in CENTRES:
            times = [at for at, centre, _ in play.orders if centre == name]
            pauses = [b - a for a, b in zip(times, times[1:], strict=False)]
            assert pauses and min(pauses) >= 10.0

    def test_bursts_within_a_minute_release_no_server(self) -> None:
        play = start()
        play.load = lambda now: PEAK if now % 50 < 3 else (0.2, 0.2)
        play.run(200.0)
        play.orders.clear()
        play.run(300.0)
        assert play.orders == [] and play.lack_seconds == 0

    @pytest.mark.parametrize("cause", ["failing", "leaving", "limited", "refused"])
    def test_no_release_while_the_service_is_in_trouble(self, cause: str) -> None:
        play = start((0.5, 1.5))
        context = play.fixture.context
        for _ in range(60):
            name = next(iter(play.servers))
            now = play.clock.seconds()
            if cause == "failing":
                context.work.record_failure(name, now)
            elif cause == "leaving":
                play.servers[name] = play.servers[name]._replace(leaving=True)
            elif cause == "limited":
                context.notices.table.record(RateLimit(name, 0, 5.0), now)
            else:
                context.demand.record_refusal("lm")
            play.run(1.0)
        assert min((count for *_, count in play.orders), default=12) == MAX_SERVERS


class TestEnginesForTheDemand:
    """Engines must not be lacking while the demand is within the recent peak."""

    def test_burst_after_calm_is_served_after_one_start(self) -> None:
        play = start((0.2, 0.5), settle=400.0)
        assert play.count() == 3 * FLOOR
        play.load = lambda now: (4.0, 12.0)
        play.run(1.0)
        assert {centre for _, centre, _ in play.orders} == set(CENTRES)
        play.run(9.0)
        play.lack_seconds = 0.0
        play.run(120.0)
        assert play.lack_seconds == 0

    def test_swing_between_prompts_and_answers_changes_few_stages(self) -> None:
        """A stage that follows each swing lacks engines, and its changes cost more."""
        play = start()
        play.load = lambda now: (6.0, 0.5) if now % 6 < 3 else (0.5, 8.0)
        play.run(120.0)
        play.lack_seconds, play.stage_orders = 0.0, 0
        play.run(600.0)
        assert play.lack_seconds == 0
        assert play.stage_orders <= 6

    def test_streams_get_the_engines_that_prompts_leave_idle(self) -> None:
        play = start((0.3, 5.0), settle=300.0)
        assert play.count() <= 15 and play.count(stage="decode") >= 10

    def test_data_centre_lost_at_the_peak(self) -> None:
        play = start(settle=300.0)
        assert play.count() < 3 * MAX_SERVERS
        play.refusing.add("north")
        play.lose("north")
        play.run(8.0)
        play.refusing.clear()
        play.run(60.0)
        assert play.lack_seconds == 0
        assert play.count("north") >= FLOOR

    @pytest.mark.parametrize("cause", ["refused", "lost"])
    def test_failed_order_is_repeated_after_a_pause(self, cause: str) -> None:
        """Each order costs a call."""
        play = start((0.2, 0.5), settle=400.0)
        if cause == "refused":
            play.refusing.add("north")
        play.lost, play.late_seconds = cause == "lost", 60.0
        play.lose("north")
        play.run(8.0)
        assert sum(centre == "north" for _, centre, _ in play.orders) == 4

    def test_others_take_the_part_of_a_data_centre_without_servers(self) -> None:
        play = start(settle=300.0)
        count = play.count("south")
        play.refusing.add("north")
        play.lose("north")
        play.run(10.0)
        assert play.count("south") > count

    def test_refused_work_raises_the_target_to_the_maximum(self) -> None:
        """A cut-down fleet that refuses work sees only the demand that it admits."""
        play = start((0.2, 0.5), settle=400.0)
        play.fixture.context.demand.record_refusal("lm")
        play.run(10.0)
        assert play.count() == 3 * MAX_SERVERS

    def test_refused_stream_counts_with_what_its_prompt_needs(self) -> None:
        fixture = GatewayFixture()
        fixture.work.add("lm-1", 1e6, 100)
        fixture.work.add("lm-2", 1e6, 100)
        responder = fixture.request("ask", prompt="17000,100")
        row = fixture.context.demand.list_rows(fixture.clock.seconds())["lm"]
        assert responder.status == 503
        assert row.refused == 1.0 and row.prefill_seconds > 0.1

    def test_release_carried_out_late_is_corrected_after_one_start(self) -> None:
        play = start((0.2, 0.5), settle=100.0)
        play.lost, play.late_seconds = True, 12.0
        play.run(11.0)
        play.lost = False
        play.load = lambda now: (4.0, 12.0)
        play.run(20.0)
        play.lack_seconds = 0.0
        play.run(60.0)
        assert play.lack_seconds == 0
        assert min(play.count(name) for name in CENTRES) >= 11

    def test_starting_servers_are_not_ordered_again(self) -> None:
        play = start((0.2, 0.5), settle=400.0)
        play.load = lambda now: (2.0, 6.0)
        play.run(6.0)
        counts = [count for _, centre, count in play.orders if centre == "north"]
        assert counts == sorted(set(counts))

    def test_second_rise_does_not_wait_for_the_pause_between_orders(self) -> None:
        play = start((0.2, 0.5), settle=400.0)
        play.load = lambda now: (2.0, 6.0)
        play.run(0.5)
        play.load = lambda now: (4.0, 14.0)
        play.run(1.0)
        assert len({count for _, _, count in play.orders}) > 1

    def test_servers_lost_while_others_start_are_ordered_again(self) -> None:
        play = start((0.2, 0.5), settle=400.0)
        play.fixture.context.demand.record_refusal("lm")
        play.run(5.0)
        play.lose("north")
        play.orders.clear()
        play.run(0.75)
        assert [order[1:] for order in play.orders] == [("north", MAX_SERVERS)]

    @pytest.mark.parametrize("centres", [2, 3, 5, 21])
    def test_rest_carries_the_peak_without_a_data_centre(self, centres: int) -> None:
        for peak in (3.0, 10.0, 40.0):
            count = count_needed(peak, centres)
            assert peak / (count * centres) <= 0.5
            assert peak / (count * (centres - 1)) <= 0.75


class TestCentreOrders:
    """Dependable servers must not be released before others run, nor be missing."""

    def plan(self, *capacity):
        return plan_centre(DataCentreCapacity("north", *capacity), 6, 12, 0.2, True)

    def test_dependable_servers_stay_until_others_run(self) -> None:
        assert self.plan(3, 4, True) == [CentreOrder("north", True, 6)]
        assert self.plan(3, 6, True) == [CentreOrder("north", False, 0)]

    def test_dependable_servers_make_room_below_the_maximum(self) -> None:
        assert CentreOrder("north", False, 0) in self.plan(8, 4, True)
        assert CentreOrder("north", False, 0) not in self.plan(8, 4, False)

    def test_dependable_servers_are_the_fallback_after_a_delay(self) -> None:
        assert CentreOrder("north", False, 4) not in self.plan(0, 2, False, 5.0)
        assert CentreOrder("north", False, 4) in self.plan(0, 2, False, 15.0)


class TestIgnorance:
    """Servers must not be released by a process that does not know the demand."""

    def test_new_holder_orders_the_maximum_and_releases_later(self) -> None:
        play = start((0.5, 1.5), settle=400.0)
        play.number += 1
        play.start_holder()
        play.run(9.0)
        assert play.count() == 3 * MAX_SERVERS
        play.run(300.0)
        assert play.count() == 3 * FLOOR

    def test_unknown_demand_of_the_other_vms_keeps_the_maximum(self) -> None:
        play = start((0.5, 1.5), settle=400.0)
        play.peers_known = False
        play.run(60.0)
        assert play.count() == 3 * MAX_SERVERS

    def test_start_of_the_deployment_orders_the_maximum(self) -> None:
        play = ScalingPlay()
        play.run(12.0)
        assert play.count() == 3 * MAX_SERVERS


class TestOtherDeployments:
    """With fewer than 8 servers in a data centre nothing may change."""

    def test_small_maximum_is_ordered_whatever_the_demand(self) -> None:
        play = ScalingPlay(7)
        play.fill(7)
        play.run(120.0)
        assert play.orders == [] and play.count() == 21
        assert list(play.fixture.sums.list_own(play.clock.seconds())) == []
        service = play.fixture.configuration.table.services["lm"]
        assert play.monitor.find_stage_need(service) is None


class TestLackingStage:
    """Prompts must find prefill engines, and no engine may change back and forth."""

    @pytest.mark.parametrize("engines", [2, 3, 8, 30])
    @pytest.mark.parametrize("need", [(0, 0), (0, 9), (9, 0), (4, 4), (40, 70)])
    def test_stages_settle_with_an_engine_in_each(self, engines, need) -> None:
        prefill, changes = 0, 0
        while stage := choose_lacking_stage(engines, prefill, StageNeed(*need)):
            prefill += 1 if stage == "prefill" else -1
            changes += 1
            assert changes <= engines
        assert 1 <= prefill <= engines - 1

    def test_both_stages_get_what_they_need(self) -> None:
        need = StageNeed(5.0, 10.0)
        assert choose_lacking_stage(30, 9, need) == "prefill"
        assert choose_lacking_stage(30, 10, need) is None
        assert choose_lacking_stage(30, 11, need) == "decode"

    def test_idle_engines_wait_for_prompts(self) -> None:
        """The first burst of prompts after calm must not run on decode engines."""
        assert choose_lacking_stage(30, 10, StageNeed(0.1, 0.1)) == "prefill"
        assert choose_lacking_stage(30, 11, StageNeed(0.1, 0.1)) is None

    def test_shares_of_too_few_engines_may_deviate_by_one(self) -> None:
        """The shares follow the peaks, which move with each burst."""
        need = StageNeed(4.0, 4.0)
        assert choose_lacking_stage(10, 4, need) is None
        assert choose_lacking_stage(10, 6, need) is None
        assert choose_lacking_stage(10, 3, need) == "prefill"


class RecordingCalls:
    """Accepts all calls to the platform and records their bodies."""

    def __init__(self) -> None:
        self.desired: list[int] = []

    async def send(self, address, method, target, body, *arguments):
        if target == "/scale":
            self.desired.append(json.loads(body)["desired"])
        return Done(200, b"")


class TestDuties:
    """The holder's duties must use the measured demand."""

    def test_holder_releases_servers_without_demand(self) -> None:
        play = start()
        context, calls = play.fixture.context, RecordingCalls()
        extra = {"duties": ("10.0.0.9", 80), "lease_seconds": 3.0, "first_start": True}
        settings = SimpleNamespace(**vars(SETTINGS), **extra)
        members = SimpleNamespace(entries={"vm-1": None}, list_alive=lambda now: [])
        exchange = SimpleNamespace(announce_unavailable=print, get_copies=dict)
        duties = AuthorityDuties(
            context._replace(settings=settings),
            calls,
            play.fixture.store,
            members,
            exchange,
            "i-1",
            context.reactor.seconds,
            SimpleNamespace(),
        )
        duties._authority.get_fencing_number = lambda: 5
        for _ in range(50):
            play.clock.advance(0.5)
            duties.observe_demand()
            Deferred.fromCoroutine(duties._scaler.run_cycle())
        assert calls.desired == [(MAX_SERVERS + FLOOR) // 2] * 3
