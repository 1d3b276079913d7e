"""Sums of state rows over all VMs, through the relays."""

from __future__ import annotations

import math

import pytest

from tests.support._simulated_fleet import SimulatedFleet
from wisteriagw.sums import SumTable, subtract_rows

SIZES = {"north": 4, "south": 3, "west": 1}


class TestSumTable:
    """Rows of peers are added by table and key, and lapse."""

    def test_rows_of_a_silent_peer_lapse(self) -> None:
        table = SumTable()
        table.apply_peer_rows("vm-2", [("speeds", "i-1", 2.0, 1.0)], 10.0)
        assert table.get_others("speeds", 10.9) == {"i-1": (2.0, 1.0)}
        assert table.get_others("speeds", 11.0) == {}

    def test_rows_of_ended_vms_do_not_stay_in_memory(self) -> None:
        table = SumTable()
        for number in range(100):
            now = float(number)
            table.apply_peer_rows(f"vm-{number}", [("speeds", "x", 1.0)], now)
            table.sum_rows((), now)
        assert len(table._peers) <= 2
        assert table.get_age(110.0) == 11.0

    def test_repeated_update_counts_once(self) -> None:
        table = SumTable()
        for now in (10.0, 10.1):
            table.apply_peer_rows("vm-2", [("speeds", "i-1", 2.0)], now)
        assert table.get_others("speeds", 10.2) == {"i-1": (2.0,)}

    def test_tables_with_the_same_key_are_kept_apart(self) -> None:
        table = SumTable()
        rows = [("speeds", "x", 2.0), ("quotas", "x", 5.0)]
        table.apply_peer_rows("vm-2", rows, 10.0)
        assert table.get_others("quotas", 10.0) == {"x": (5.0,)}

    def test_rows_of_other_lengths_do_not_fail(self) -> None:
        table = SumTable()
        table.apply_peer_rows("vm-2", [("speeds", "x", 2.0)], 10.0)
        table.apply_peer_rows("vm-3", [("speeds", "x", 1.0, 7.0)], 10.0)
        assert table.get_others("speeds", 10.0) == {"x": (3.0,)}

    @pytest.mark.parametrize(
        "row",
        [
            5,
            "speeds",
            ("speeds",),
            ("speeds", ["x"], 1.0),
            (b"speeds", "x", 1.0),
            ("speeds", "x", "1.0"),
            ("speeds", "x", None),
            ("speeds", "x", math.nan),
            ("speeds", "x", 1.0, -math.inf),
            ("speeds", "x", 1e300),
            ("speeds", "x", 10**400),
        ],
    )
    def test_odd_rows_of_a_peer_are_left_out(self, row: object) -> None:
        # An exception here ended the updates and the quota task of the reader; NaN
        # stayed in the level of a quota.
        table = SumTable()
        own = (("speeds", "own", 1.0),)
        for peer in ("vm-2", "vm-3"):
            rows = [row, ("speeds", "x", 2.0)]
            table.apply_peer_rows(peer, rows, 10.0, own)
        assert table.get_others("speeds", 10.0) == {"x": (4.0,)}
        assert table.sum_rows((), 10.0) == (("speeds", "x", 4.0),)

    def test_own_part_is_subtracted_only_where_it_is_contained(self) -> None:
        total = [("speeds", "x", 5.0)]
        own = [("speeds", "x", 2.0), ("speeds", "new", 1.0)]
        assert subtract_rows(total, own) == (("speeds", "x", 3.0),)

    def test_age_is_infinite_before_the_first_update(self) -> None:
        assert SumTable().get_age(10.0) == float("inf")


class TestSumsThroughRelays:
    """Every VM knows the sums over the others, whichever relays forward them."""

    def start(self) -> tuple[SimulatedFleet, dict[str, float]]:
        fleet = SimulatedFleet(SIZES)
        values: dict[str, float] = {}
        for number, (vm, gateway) in enumerate(fleet.gateways.items(), start=1):
            values[vm] = float(number)
            gateway.sums.register("t", lambda now, vm=vm: [("x", (values[vm],))])
        fleet.advance(3.0)
        return fleet, values

    def find_others(self, gateway) -> float:
        found = gateway.sums.get_others("t", gateway.clock.seconds())
        return found.get("x", (0.0,))[0]

    def test_own_rows_are_left_out(self) -> None:
        fleet, values = self.start()
        for vm, gateway in fleet.gateways.items():
            expected = sum(values.values()) - values[vm]
            assert self.find_others(gateway) == pytest.approx(expected), vm

    def test_change_of_own_rows_does_not_change_the_others(self) -> None:
        fleet, values = self.start()
        for vm in fleet.gateways:
            others = sum(values.values()) - values[vm]
            values[vm] += 100.0
            for _ in range(10):
                fleet.advance(0.05)
                assert self.find_others(fleet.gateways[vm]) == pytest.approx(others)
            values[vm] -= 100.0
            fleet.advance(2.0)

    def test_rows_of_a_lost_vm_lapse(self) -> None:
        fleet, values = self.start()
        lost = "south-3"
        fleet.down.add(lost)
        fleet.advance(4.0)
        for vm, gateway in fleet.gateways.items():
            if vm == lost:
                continue
            expected = sum(values.values()) - values[vm] - values[lost]
            assert self.find_others(gateway) == pytest.approx(expected), vm

    def test_change_of_role_counts_no_vm_twice(self) -> None:
        # A VM that becomes a relay receives rows of VMs that are still in the totals
        # that it had; a customer's requests would count twice for five intervals.
        fleet, values = self.start()
        total = sum(values.values())
        fleet.down.update(fleet.list_relays("north")[:1])
        for _ in range(40):
            fleet.advance(0.05)
            for vm, gateway in fleet.gateways.items():
                if vm not in fleet.down:
                    assert self.find_others(gateway) <= total - values[vm] + 1e-6, vm

    def test_own_rows_that_a_relay_has_dropped_are_not_subtracted(self) -> None:
        fleet, values = self.start()
        vm = next(
            name
            for name, gateway in fleet.gateways.items()
            if not gateway.exchange.peers.is_relay
        )
        others = sum(values.values()) - values[vm]
        for relay in fleet.list_relays("north"):
            fleet.extra_delay[(vm, relay)] = 1e6
        for _ in range(30):
            fleet.advance(0.05)
            assert self.find_others(fleet.gateways[vm]) == pytest.approx(others)

    def test_rows_of_an_earlier_process_are_not_subtracted_from(self) -> None:
        fleet, values = self.start()
        vm = next(
            name
            for name, gateway in fleet.gateways.items()
            if not gateway.exchange.peers.is_relay
        )
        gateway = fleet.gateways[vm]
        gateway.exchange._receiver._sent._updates.clear()
        others = sum(values.values()) - values[vm]
        (relay,) = fleet.list_relays("north")[:1]
        sent = [m for to, m in fleet.gateways[relay].mesh.sent if to == vm][-1]
        values[vm] = 100.0
        gateway.mesh.handlers[type(sent)](relay, sent)
        assert self.find_others(gateway) >= others
