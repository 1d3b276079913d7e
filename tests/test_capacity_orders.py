"""Tests of the orders for servers and stages."""

from __future__ import annotations

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.support._gateway_fixture import TABLE
from wisteriagw.fleet import BackendServer, Fleet
from wisteriagw.gateway._cache_survey import CacheSurvey
from wisteriagw.gateway._scaler import ORDER_PAUSE_SECONDS, Scaler
from wisteriagw.gateway._stage_controller import LATE_ORDER_SECONDS, StageController
from wisteriagw.notices import NoticeTable
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.placement import WorkTable
from wisteriagw.roles import (
    StagedEngine,
    count_prefill_engines,
    plan_stages,
    update_peak,
)
from wisteriagw.routes import ScalingTerms
from wisteriagw.spending import CentreOrder, DataCentreCapacity, plan_capacity


class TestPlanCapacity:
    """Dependable servers must not be released before others are available."""

    def plan(self, *capacity, price: float = 0.2):
        return plan_capacity([DataCentreCapacity("north", *capacity)], 3, price)

    def test_reclaimable_servers_are_ordered_first(self) -> None:
        assert self.plan(2, 0) == [CentreOrder("north", True, 3)]
        assert self.plan(3, 0) == [CentreOrder("north", True, 3)]

    def test_dependable_servers_are_released_once_the_order_is_accepted(self) -> None:
        assert CentreOrder("north", False, 0) in self.plan(2, 0, True)

    def test_dependable_servers_stay_while_orders_are_refused(self) -> None:
        assert self.plan(2, 1, False, 60.0) == [CentreOrder("north", True, 3)]

    def test_full_capacity_needs_no_order(self) -> None:
        assert self.plan(0, 3, True) == []

    def test_lost_reclaimable_servers_are_ordered_again(self) -> None:
        assert self.plan(0, 0, True) == [CentreOrder("north", True, 3)]

    def test_dependable_servers_are_the_fallback_after_a_delay(self) -> None:
        assert CentreOrder("north", False, 3) not in self.plan(0, 0, False, 5.0)
        assert CentreOrder("north", False, 2) in self.plan(0, 1, False, 15.0)

    def test_dependable_servers_if_there_are_no_reclaimable_ones(self) -> None:
        assert self.plan(1, 0, price=0.0) == [CentreOrder("north", False, 3)]


class TestPlanStages:
    """Prefill engines must be spread over data centres, and changes must be few."""

    def build(self, *stages: str, changing: int = 0) -> list[StagedEngine]:
        return [
            StagedEngine(f"e{i}", ("south", "north")[i % 2], stage, 0.0, i < changing)
            for i, stage in enumerate(stages)
        ]

    def plan(self, engines, streams: float = 0.0):
        return plan_stages(engines, streams, 64)

    def test_too_few_prefill_engines(self) -> None:
        assert self.plan(self.build(*["decode"] * 10)).stage == "prefill"

    def test_data_centre_without_prefill_engines_comes_first(self) -> None:
        stages = ("prefill", "decode", "prefill", "decode", "prefill", "decode")
        engines = self.build(*stages, "decode")
        assert self.plan(engines).engine in ("e1", "e3", "e5")

    def test_streams_take_precedence_over_prefill(self) -> None:
        engines = self.build(*["prefill"] * 7, *["decode"] * 3)
        assert self.plan(engines, 60.0) is None
        assert self.plan(engines, 250.0).stage == "decode"

    @pytest.mark.parametrize("streams", [0.0, 100.0, 1e6])
    @pytest.mark.parametrize("count", [2, 3, 5, 12, 30])
    def test_both_stages_always_have_an_engine(self, count, streams) -> None:
        assert 1 <= count_prefill_engines(count, streams, 64) <= count - 1

    def test_one_engine_always_stays_in_the_decode_stage(self) -> None:
        assert self.plan(self.build("prefill", "decode")) is None
        assert self.plan(self.build("decode")) is None

    def limit(self, engines, stage: str, count: int):
        """Let the first engines of a stage name a limit."""
        names = [engine.name for engine in engines if engine.stage == stage][:count]
        return [e._replace(limited=e.limited or e.name in names) for e in engines]

    def test_unlimited_engine_decodes_where_all_decode_engines_name_limits(
        self,
    ) -> None:
        """Load: streams beyond the limits were refused while prefill engines idled."""
        engines = self.build(*["prefill"] * 6, *["decode"] * 5)
        limited = self.limit(self.limit(engines, "decode", 5), "prefill", 3)
        change = self.plan(limited)
        assert change.stage == "decode" and change.engine in ("e3", "e4", "e5")
        assert self.plan(self.limit(engines, "decode", 4)) is None

    @pytest.mark.parametrize("count", [3, 5, 11])
    @pytest.mark.parametrize("streams", [0.0, 60.0])
    def test_stages_settle_while_engines_name_limits(
        self, count: int, streams: float
    ) -> None:
        """An engine that was changed for the limits must not be changed back."""
        engines = self.build(*["prefill"] * (count // 2), *["decode"] * (count // 2))
        engines = self.limit(engines, "decode", count)
        changed = []
        while (change := self.plan(engines, streams)) is not None:
            changed.append(change.engine)
            assert len(changed) <= count, changed
            engines = [
                e._replace(stage=change.stage) if e.name == change.engine else e
                for e in engines
            ]
        assert len(changed) == len(set(changed))
        free = [e.stage for e in engines if not e.limited]
        assert "decode" in free or len(free) < 2

    def test_limits_of_all_engines_change_no_stage(self) -> None:
        engines = self.build(*["prefill"] * 6, *["decode"] * 5)
        limited = [engine._replace(limited=True) for engine in engines]
        assert self.plan(limited) is None
        one = self.build("prefill", *["decode"] * 2)
        assert self.plan(self.limit(one, "decode", 2)) is None

    def test_number_of_changes_in_progress_is_limited(self) -> None:
        assert self.plan(self.build(*["decode"] * 10, changing=2)) is None

    def test_peak_decays(self) -> None:
        peak = update_peak(0.0, 100.0, 0.5)
        assert update_peak(peak, 10.0, 60.0) == pytest.approx(50.0)
        assert update_peak(peak, 120.0, 60.0) == 120.0


class FakeFleet:
    """Register with some engines."""

    def __init__(self, *servers: BackendServer) -> None:
        self.fleet = Fleet({server.name: server for server in servers})


class FakeConfiguration:
    """Configuration of the scripted gateway, whose engines can be ordered."""

    terms = ScalingTerms(1, 3, 4.0, 0.2, (("north", 1.0),))
    service = TABLE.services["lm"]._replace(scaling=terms)
    table = TABLE._replace(services={"lm": service})


class FakeAuthority:
    """Authority that this VM holds while there is a number."""

    number: int | None = 5

    def get_fencing_number(self) -> int | None:
        return self.number


class FakeDuties:
    """Records orders and returns the same outcome for all."""

    def __init__(self, outcome) -> None:
        self.outcome = outcome
        self.sent = []

    async def order_stage(self, *arguments):
        self.sent.append(arguments)
        return self.outcome

    async def order_servers(self, *arguments):
        self.sent.append(arguments)
        return self.outcome


def run(coroutine) -> None:
    """Run a cycle that does not wait."""
    errors = []
    Deferred.fromCoroutine(coroutine).addErrback(errors.append)
    assert errors == []


def build_engine(name: str, stage: str) -> BackendServer:
    """Return an engine of the service ``lm``."""
    address = ("10.0.0.1", 80)
    return BackendServer(name, "lm", address, "north", 64, stage=stage)


class TestStageController:
    """An engine must not get a second order while the first may be carried out."""

    def build(self, outcome):
        self.clock = Clock()
        self.duties = FakeDuties(outcome)
        self.authority = FakeAuthority()
        self.announced = []
        self.fleet = FakeFleet(build_engine("a", "decode"), build_engine("b", "decode"))
        return StageController(
            self.clock,
            self.duties,
            self.authority,
            FakeConfiguration(),
            self.fleet,
            WorkTable(),
            NoticeTable(),
            lambda *arguments: self.announced.append(arguments),
        )

    def test_order_is_announced_and_not_repeated(self) -> None:
        controller = self.build(Done(202, b""))
        run(controller.run_cycle())
        run(controller.run_cycle())
        assert len(self.duties.sent) == 1
        assert self.announced[0][0] == self.duties.sent[0][1]

    def test_lost_answer_blocks_the_engine_until_the_order_has_expired(self) -> None:
        controller = self.build(MayHaveRun("lost"))
        run(controller.run_cycle())
        self.clock.advance(LATE_ORDER_SECONDS - 1.0)
        run(controller.run_cycle())
        assert len(self.duties.sent) == 1
        self.clock.advance(2.0)
        run(controller.run_cycle())
        assert len(self.duties.sent) == 2

    def test_refused_order_makes_the_engine_available_again(self) -> None:
        controller = self.build(Done(409, b""))
        run(controller.run_cycle())
        assert self.announced[-1][1] == 0.0

    def test_without_the_authority_nothing_is_sent(self) -> None:
        controller = self.build(Done(202, b""))
        self.authority.number = None
        run(controller.run_cycle())
        assert self.duties.sent == []


class TestScaler:
    """Orders must be repeated while servers are missing, but not in every cycle."""

    def build(self, outcome):
        self.clock = Clock()
        self.duties = FakeDuties(outcome)
        self.authority = FakeAuthority()
        return Scaler(
            self.clock,
            self.duties,
            self.authority,
            FakeConfiguration(),
            FakeFleet(build_engine("a", "decode")._replace(reclaimable=True)),
        )

    def test_order_is_repeated_after_a_pause_while_servers_are_missing(self) -> None:
        scaler = self.build(Done(200, b""))
        run(scaler.run_cycle())
        run(scaler.run_cycle())
        assert self.duties.sent == [("lm", "north", 3, True, 5)]
        self.clock.advance(ORDER_PAUSE_SECONDS)
        run(scaler.run_cycle())
        assert self.duties.sent == [("lm", "north", 3, True, 5)] * 2

    def test_refused_order_is_repeated_after_a_pause(self) -> None:
        scaler = self.build(Done(409, b""))
        run(scaler.run_cycle())
        self.clock.advance(3.0)
        run(scaler.run_cycle())
        assert len(self.duties.sent) == 2

    def test_dependable_servers_are_kept_while_orders_are_refused(self) -> None:
        scaler = self.build(Done(409, b""))
        server = build_engine("b", "decode")
        scaler._fleet.fleet.servers["b"] = server
        for _ in range(20):
            run(scaler.run_cycle())
            self.clock.advance(ORDER_PAUSE_SECONDS)
        counts = {order[2] for order in self.duties.sent if not order[3]}
        assert 0 not in counts

    def test_without_the_authority_nothing_is_sent(self) -> None:
        scaler = self.build(Done(200, b""))
        self.authority.number = None
        run(scaler.run_cycle())
        assert self.duties.sent == []


class FakeMembers:
    """VMs that are alive, with the start of the oldest process."""

    def __init__(self, earliest: float) -> None:
        self.earliest = earliest

    def find_earliest_start(self, now: float) -> float:
        return self.earliest

    def list_alive(self, now: float) -> list[str]:
        return ["vm-1"]


class FakeEngines:
    """Engines that cache one prompt part."""

    def __init__(self) -> None:
        self.queried = []

    async def list_parts(self, address):
        self.queried.append(address)
        return [("aa", 100)]


class TestCacheSurvey:
    """Engines must be queried after the loss of all VMs, and only then."""

    @pytest.mark.parametrize(("earliest", "queries"), [(100.0, 1), (20.0, 0)])
    def test_queries_depend_on_the_age_of_the_other_processes(
        self, earliest: float, queries: int
    ) -> None:
        clock = Clock()
        clock.advance(100.0)
        engines = FakeEngines()
        found = []
        survey = CacheSurvey(
            clock,
            engines,
            FakeFleet(build_engine("a", "decode"), build_engine("plain", "")),
            FakeMembers(earliest),
            "vm-1",
            lambda server, parts: found.append((server.name, parts)),
        )
        survey.start()
        clock.advance(1.0)
        assert len(engines.queried) == queries
        assert found == [("a", [("aa", 100)])] * queries
