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

PLACES = ("dc1", "dc2", "dc3", "dc4")
OFFERS = tuple(DataCentreOffer(place) for place in PLACES)
NO_CHEAP = tuple(DataCentreOffer(place, cheap_available=False) for place in PLACES)


def build_fleet(cheap: int, dependable: int) -> tuple[OwnedServer, ...]:
    """Return servers spread over the data centres."""
    return (
        *(OwnedServer(f"c{i}", PLACES[i % 4], True) for i in range(cheap)),
        *(OwnedServer(f"d{i}", PLACES[i % 4], False) for i in range(dependable)),
    )


def build_view(load: float, fleet: tuple[OwnedServer, ...], **change) -> SpendingView:
    """Return a view with a fresh forecast and a long settled fleet."""
    view = SpendingView(OFFERS, fleet, load, enough_since=0.0, forecast_at=1000.0)
    return view._replace(**change)


class TestTarget:
    """Guards against a fleet that the loss of one data centre makes too small."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.floats(0.1, 300.0), st.floats(0.0, 1.0), st.integers(0, 6))
    def test_what_is_left_carries_the_load(
        self, load: float, once_part: float, centres: int
    ) -> None:
        target, lost = choose_target(load, load * once_part, centres, (0.35, 1.0))
        worst = math.ceil(target.cheap / centres) if centres else 0
        assert target.cheap + target.dependable - worst >= load - 1e-6
        assert target.dependable >= load * once_part - 1e-6
        assert centres >= 2 or target.cheap == 0 or target.dependable >= load
        assert all(option.price >= target.price for option in lost)


class TestPlan:
    """Guards against money spent for nothing, and against a service that stops."""

    def count_orders(self, view: SpendingView) -> dict[bool, int]:
        counts = {True: 0, False: 0}
        for order in plan_spending(view, 1000.0).orders:
            counts[order.reclaimable] += order.count
        return counts

    def test_repeatable_work_gets_cheap_servers_spread_over_data_centres(self) -> None:
        orders = plan_spending(build_view(6.0, ()), 1000.0).orders
        assert all(order.reclaimable for order in orders)
        counts = [order.count for order in orders]
        assert len(counts) == 4
        assert max(counts) - min(counts) <= 1

    def test_work_that_may_not_repeat_gets_dependable_servers(self) -> None:
        assert self.count_orders(build_view(3.0, (), load_once=2.4))[False] >= 3

    def test_goes_on_when_cheap_ones_are_not_to_be_had(self) -> None:
        counts = self.count_orders(build_view(4.0, (), offers=NO_CHEAP))
        assert counts == {True: 0, False: 5}

    def test_lost_cheap_servers_are_replaced_by_dependable_ones(self) -> None:
        one_place = (DataCentreOffer("dc1"), *NO_CHEAP[1:])
        fleet = build_fleet(6, 0)
        leaving = tuple(
            server._replace(leaving=server.data_centre != "dc1") for server in fleet
        )
        counts = self.count_orders(build_view(4.0, leaving, offers=one_place))
        assert counts[False] >= 4

    @pytest.mark.parametrize(
        ("change", "reason"),
        [
            ({"enough_since": 990.0}, "held for the hold time"),
            ({"forecast_at": 900.0}, "the load is not known"),
            ({"load": 6.0}, "needed"),
        ],
    )
    def test_nothing_is_given_back_too_soon(self, change, reason) -> None:
        view = build_view(2.0, build_fleet(9, 0))._replace(**change)
        assert plan_spending(view, 1000.0).returns == (), reason

    def test_dear_servers_go_back_first_one_at_a_time(self) -> None:
        view = build_view(2.0, build_fleet(6, 3))
        decision = plan_spending(view, 1000.0)
        assert len(decision.returns) == 1
        assert decision.returns[0].startswith("d")
        assert decision.alternatives

    def test_order_stays_within_the_limit(self) -> None:
        counts = self.count_orders(build_view(20.0, (), max_servers=9))
        assert counts[True] + counts[False] <= 9

    def test_servers_that_start_are_not_ordered_again(self) -> None:
        fleet = tuple(server._replace(up=False) for server in build_fleet(8, 0))
        decision = plan_spending(build_view(4.0, fleet), 1000.0)
        assert (decision.orders, decision.returns) == ((), ())


class TestForecast:
    """Guards against a forecast that falls faster than the load."""

    def test_rising_trend_is_projected_and_a_falling_one_is_not(self) -> None:
        rising = falling = Forecast()
        for second in range(0, 100, 5):
            rising = update_forecast(rising, second / 10, float(second))
            falling = update_forecast(falling, 10 - second / 10, float(second))
        assert predict_load(rising, 30.0) > rising.load + 1.0
        assert predict_load(falling, 30.0) == falling.load
        assert update_forecast(rising, 0.0, 1.0) == rising
