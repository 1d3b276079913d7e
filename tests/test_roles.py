"""Tests of the role decision."""

from __future__ import annotations

import math

import pytest

from wisteriagw.dispatch import Dispatcher
from wisteriagw.roles import (
    Demand,
    DemandMeter,
    EngineRole,
    RolesView,
    plan_roles,
    smooth_demand,
)
from wisteriagw.routing import LoadTable, RoleProfile, RouteRequest

PROFILES = {
    "prefill": RoleProfile(20_000.0, 16),
    "decode": RoleProfile(5_000.0, 76),
}
PREFILL_HEAVY = Demand(90_000.0, 3_000.0, 100.0)
DECODE_HEAVY = Demand(5_000.0, 12_000.0, 100.0)
BALANCED = Demand(40_000.0, 5_000.0, 100.0)


def build_view(demand: Demand, prefill: int = 2, count: int = 6, **change) -> RolesView:
    """Return a fleet whose last engine has the fewest streams."""
    engines = tuple(
        EngineRole(f"e{i}", "prefill" if i < prefill else "decode", 50.0 - i)
        for i in range(count)
    )
    return RolesView(engines, demand, PROFILES)._replace(**change)


class TestPlan:
    """Guards against changes caused by noise or with more cost than gain."""

    @pytest.mark.parametrize(
        ("view", "expected"),
        [
            (build_view(PREFILL_HEAVY), ("e5", "prefill")),
            (build_view(DECODE_HEAVY, prefill=4), ("e3", "decode")),
            (build_view(BALANCED), None),
            (build_view(PREFILL_HEAVY, last_change_at=90.0), None),
            (build_view(PREFILL_HEAVY, last_change_at=80.0, last_role="decode"), None),
            (build_view(DECODE_HEAVY, prefill=1), None),
            (build_view(DECODE_HEAVY, prefill=0), ("e5", "prefill")),
            (build_view(PREFILL_HEAVY, prefill=5), None),
            (build_view(PREFILL_HEAVY._replace(at=70.0)), None),
            (build_view(PREFILL_HEAVY, prefill=0, count=1), None),
        ],
    )
    def test_table(self, view: RolesView, expected: tuple[str, str] | None) -> None:
        decision = plan_roles(view, 100.0)
        assert decision.changes == ((expected,) if expected else ())
        assert decision.reason

    def test_one_change_at_a_time_even_if_an_engine_crashes_during_it(self) -> None:
        view = build_view(PREFILL_HEAVY)
        stuck = view.engines[4]._replace(available=False, changing=True)
        engines = (*view.engines[:4], stuck, view.engines[5])
        decision = plan_roles(view._replace(engines=engines), 100.0)
        assert decision.changes == ()
        assert decision.reason == "a change is in progress"

    def test_recent_changes_raise_the_cost(self) -> None:
        demand = Demand(75_000.0, 3_000.0, 100.0)
        assert plan_roles(build_view(demand), 100.0).changes
        swinging = build_view(demand, recent_changes=6)
        assert plan_roles(swinging, 100.0).changes == ()

    def test_rejected_alternatives_have_a_reason(self) -> None:
        decision = plan_roles(build_view(BALANCED), 100.0)
        reasons = {option.reason for option in decision.alternatives}
        assert reasons == {"the gain is not above the cost of the change"}


class TestDemand:
    """Guards against a demand that one long prompt distorts."""

    def test_single_peak_is_smoothed_and_late_samples_are_ignored(self) -> None:
        demand = smooth_demand(Demand(), 10_000.0, 1_000.0, 0.0)
        demand = smooth_demand(demand, 100_000.0, 1_000.0, 2.0)
        assert demand.prefill_tokens_per_second < 25_000.0
        assert smooth_demand(demand, 0.0, 0.0, 1.0) == demand
        assert smooth_demand(demand, 5.0, 5.0, math.inf).prefill_tokens_per_second == 5

    def test_rates_by_model_stay_after_a_read_and_decay(self) -> None:
        dispatcher = Dispatcher(LoadTable({}), {}, lambda bound: 0)
        meter = DemandMeter(0.0)
        for second in range(1, 61):
            for model, tokens in (("a", 3000), ("b", 500)):
                request = RouteRequest("c", model, tokens)
                dispatcher.submit(f"{model}{second}", request, 9e9, float(second))
            meter.sample(dispatcher.pop_demands(), float(second))
        assert dispatcher.pop_demand() == (0.0, 0.0)
        for model, rate in (("a", 3000.0), ("b", 500.0)):
            demand = meter.demands[model]
            assert demand.prefill_tokens_per_second == pytest.approx(rate, rel=0.02)
            assert demand.decode_tokens_per_second == pytest.approx(100.0, rel=0.02)
        for second in range(61, 400):
            meter.sample({}, float(second))
        assert meter.demands == {}
