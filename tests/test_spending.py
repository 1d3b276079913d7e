"""Tests of the spending decision."""

from __future__ import annotations

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriagw.spending import (
    DataCentreOffer,
    Forecast,
    OwnedServer,
    SpendingView,
    choose_target,
    plan_spending,
    predict_load,
    update_forecast,
)

DATA_CENTRES = ("dc1", "dc2", "dc3", "dc4")
OFFERS = tuple(DataCentreOffer(data_centre) for data_centre in DATA_CENTRES)
NONE_RECLAIMABLE = tuple(
    DataCentreOffer(data_centre, reclaimable_available=False)
    for data_centre in DATA_CENTRES
)


def build_fleet(reclaimable: int, dependable: int) -> tuple[OwnedServer, ...]:
    """Return servers spread over the data centres."""
    return (
        *(OwnedServer(f"c{i}", DATA_CENTRES[i % 4], True) for i in range(reclaimable)),
        *(OwnedServer(f"d{i}", DATA_CENTRES[i % 4], False) for i in range(dependable)),
    )


def build_view(load: float, fleet: tuple[OwnedServer, ...], **change) -> SpendingView:
    """Return a view with a recent forecast and a fleet sufficient for a long time."""
    view = SpendingView(OFFERS, fleet, load, sufficient_since=0.0, forecast_at=1000.0)
    return view._replace(**change)


class TestTarget:
    """Guards against a fleet that is too small after the loss of one data centre."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.floats(0.1, 300.0), st.floats(0.0, 1.0), st.integers(0, 6))
    def test_remaining_servers_carry_the_load(
        self, load: float, nonrepeatable_fraction: float, data_centres: int
    ) -> None:
        target, rejected = choose_target(
            load, load * nonrepeatable_fraction, data_centres, (0.35, 1.0)
        )
        worst = math.ceil(target.reclaimable / data_centres) if data_centres else 0
        assert target.reclaimable + target.dependable - worst >= load - 1e-6
        assert target.dependable >= load * nonrepeatable_fraction - 1e-6
        assert data_centres >= 2 or target.reclaimable == 0 or target.dependable >= load
        assert all(option.price >= target.price for option in rejected)


class TestPlan:
    """Guards against unnecessary cost, and against a lack of servers."""

    def count_orders(self, view: SpendingView) -> dict[bool, int]:
        counts = {True: 0, False: 0}
        for order in plan_spending(view, 1000.0).orders:
            counts[order.reclaimable] += order.count
        return counts

    def test_repeatable_work_gets_reclaimable_servers_over_data_centres(self) -> None:
        orders = plan_spending(build_view(6.0, ()), 1000.0).orders
        assert all(order.reclaimable for order in orders)
        counts = [order.count for order in orders]
        assert len(counts) == 4
        assert max(counts) - min(counts) <= 1

    def test_nonrepeatable_work_gets_dependable_servers(self) -> None:
        assert (
            self.count_orders(build_view(3.0, (), nonrepeatable_load=2.4))[False] >= 3
        )

    def test_dependable_servers_if_reclaimable_ones_are_not_available(self) -> None:
        counts = self.count_orders(build_view(4.0, (), offers=NONE_RECLAIMABLE))
        assert counts == {True: 0, False: 5}

    def test_lost_reclaimable_servers_are_replaced_by_dependable_ones(self) -> None:
        one_data_centre = (DataCentreOffer("dc1"), *NONE_RECLAIMABLE[1:])
        fleet = build_fleet(6, 0)
        leaving = tuple(
            server._replace(leaving=server.data_centre != "dc1") for server in fleet
        )
        counts = self.count_orders(build_view(4.0, leaving, offers=one_data_centre))
        assert counts[False] >= 4

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"sufficient_since": 990.0}, "kept for the release delay"),
            ({"forecast_at": 900.0}, "no recent forecast"),
            ({"load": 6.0}, "needed"),
        ],
    )
    def test_nothing_is_released_too_soon(self, change, reason) -> None:
        view = build_view(2.0, build_fleet(9, 0))._replace(**change)
        assert plan_spending(view, 1000.0).releases == (), reason

    def test_dependable_servers_are_released_first_and_one_at_a_time(self) -> None:
        view = build_view(2.0, build_fleet(6, 3))
        decision = plan_spending(view, 1000.0)
        assert len(decision.releases) == 1
        assert decision.releases[0].startswith("d")
        assert decision.alternatives

    def test_orders_stay_within_the_limit(self) -> None:
        counts = self.count_orders(build_view(20.0, (), max_servers=9))
        assert counts[True] + counts[False] <= 9

    def test_starting_servers_are_not_ordered_again(self) -> None:
        fleet = tuple(server._replace(up=False) for server in build_fleet(8, 0))
        decision = plan_spending(build_view(4.0, fleet), 1000.0)
        assert (decision.orders, decision.releases) == ((), ())


class TestForecast:
    """Guards against a forecast that falls faster than the load."""

    def test_rising_trend_is_projected_and_a_falling_one_is_ignored(self) -> None:
        rising = falling = Forecast()
        for second in range(0, 100, 5):
            rising = update_forecast(rising, second / 10, float(second))
            falling = update_forecast(falling, 10 - second / 10, float(second))
        assert predict_load(rising, 30.0) > rising.load + 1.0
        assert predict_load(falling, 30.0) == falling.load
        assert update_forecast(rising, 0.0, 1.0) == rising
