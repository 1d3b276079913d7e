"""Tests of the stand-ins that accept orders."""

from __future__ import annotations

import pytest

from tests.support import VirtualClock
from wisteriagw.standins._backends_store import BackendsStore
from wisteriagw.standins._engine_orders import EngineOrders


def build_order(number: int, **fields: str) -> dict:
    """Return an order that changes the role."""
    order = {"action": "change_role", "role": "decode", "order_id": f"o-{number}"}
    return {**order, "fencing_number": number, **fields}


class TestEngineOrders:
    """Guards against an engine stand-in that does not report conflicting orders."""

    @pytest.mark.parametrize("checks_fencing", [True, False])
    def test_older_number_is_refused_or_counted(self, checks_fencing: bool) -> None:
        clock = VirtualClock()
        engine = EngineOrders(clock, 3, checks_fencing=checks_fencing)
        assert engine.accept(build_order(5)) == ""
        assert engine.describe()["changing"]
        clock.advance(3)
        assert engine.describe()["role"] == "decode"
        assert (engine.accept(build_order(4)) == "old_fencing_number") == checks_fencing
        assert engine.conflicts == (0 if checks_fencing else 1)

    def test_order_during_a_change_is_refused_or_counted(self) -> None:
        for checks_fencing in (True, False):
            engine = EngineOrders(VirtualClock(), 3, checks_fencing=checks_fencing)
            engine.accept(build_order(5))
            refusal = engine.accept(build_order(6))
            assert (refusal == "change_in_progress") == checks_fencing
            assert engine.conflicts == (0 if checks_fencing else 1)

    def test_crash_happens_in_the_middle_of_a_change(self) -> None:
        clock, crashes = VirtualClock(), []
        engine = EngineOrders(
            clock, 4, checks_fencing=True, crash=lambda: crashes.append(clock())
        )
        engine.step()
        engine.accept(build_order(5))
        engine.step()
        assert crashes == []
        clock.advance(2)
        engine.step()
        assert crashes == [clock()]


class TestBackendsStore:
    """Guards against a stand-in that accepts an order twice."""

    def test_order_id_counts_once_and_reclaiming_gives_notice(self) -> None:
        clock = VirtualClock()
        store = BackendsStore(clock)
        fields = {"order_id": "o-1", "need": "n", "data_centre": "dc1", "serves": "m"}
        reclaimable = {**fields, "reclaimable": True}
        assert (
            store.place_order(reclaimable, reclaimable_available=False)
            == "none_available"
        )
        assert store.place_order(reclaimable, reclaimable_available=True) == ""
        assert (
            store.place_order(reclaimable, reclaimable_available=True)
            == "duplicate_order"
        )
        clock.advance(3)
        assert [order.state for order in store.list_orders()] == ["running"]
        assert store.reclaim("dc1", 5) == 1
        assert [order.state for order in store.list_orders()] == ["reclaiming"]
        clock.advance(5)
        assert [order.state for order in store.list_orders()] == ["reclaimed"]
