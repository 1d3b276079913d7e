"""Tests of the speed of each backend server."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.support._simulated_speeds import SpeedSimulation
from wisteriagw.fleet import BackendServer
from wisteriagw.speeds import SpeedSample, SpeedTable, find_log_speeds, limit_speed
from wisteriagw.speeds._speed_table import MAX_ROWS, build_key
from wisteriagw.sums import SumTable

SERVERS = [
    BackendServer(f"s{number}", "desk", ("", 0), "north", 4) for number in range(4)
]


class Vm:
    """A table of one VM; every server answers 20 times a second."""

    def __init__(self) -> None:
        self.sums = SumTable()
        self.table = SpeedTable(self.sums)
        self.now = 100.0

    def serve(self, seconds: float, silent: tuple[str, ...] = (), **speeds) -> None:
        """Let time pass, in which all servers but the silent ones answer."""
        for _ in range(round(seconds * 20)):
            self.now += 0.05
            for server in SERVERS:
                if server.name not in silent:
                    measured = 0.1 / speeds.get(server.name, 1.0)
                    self.record(server, measured)
            self.find()

    def record(self, server: BackendServer, measured: float) -> None:
        sample = SpeedSample(server, "answer", 1.0, measured)
        self.table.record(sample, self.now)

    def find(self, servers=SERVERS) -> dict[str, float]:
        return self.table.find_speeds("desk", servers, self.now)


class TestSpeedTable:
    """The speed follows what callers waited for, within seconds."""

    def test_slow_period_shows_and_is_forgotten_without_requests(self) -> None:
        """A server that all VMs avoid would otherwise never be tried again."""
        vm = Vm()
        vm.serve(5.0)
        assert vm.find() == {}
        vm.serve(2.0, s0=0.2)
        assert vm.find()["s0"] < 0.6
        vm.serve(6.0, silent=("s0",))
        assert vm.find() == {}

    def test_few_slow_answers_change_nothing(self) -> None:
        vm = Vm()
        vm.serve(5.0, silent=("s0",))
        for _ in range(2):
            vm.record(SERVERS[0], 0.5)
        vm.now += 0.3
        assert vm.find() == {}

    def test_very_long_answers_count_like_five_times_the_usual(self) -> None:
        vm = Vm()
        vm.serve(5.0)
        for _ in range(2):
            vm.record(SERVERS[0], 1_000.0)
        vm.now += 0.3
        assert vm.find() == {}

    def test_slowdown_of_all_servers_is_no_difference(self) -> None:
        """Estimates that are not kept at a mean of 1 would all fall to the bound."""
        vm = Vm()
        vm.serve(5.0)
        vm.serve(1.0, **{server.name: 0.3 for server in SERVERS})
        assert vm.find() == {}

    def test_restarted_server_starts_at_one(self) -> None:
        vm = Vm()
        vm.serve(5.0, s0=0.2)
        restarted = [SERVERS[0]._replace(born=7), *SERVERS[1:]]
        vm.now += 0.3
        assert "s0" not in vm.find(restarted)
        assert vm.table.get_speed(restarted[0]) == 1.0

    def test_new_vm_uses_the_sums_of_the_others_until_they_expire(self) -> None:
        old, new = Vm(), Vm()
        old.serve(5.0, s0=0.3)
        rows = old.sums.list_own(old.now)
        new.sums.apply_peer_rows("old", rows, new.now)
        assert new.find()["s0"] == pytest.approx(old.find()["s0"], abs=0.02)
        new.now += 2.0
        assert new.find() == {}

    @pytest.mark.parametrize("values", [(-1e9, 1.0), (1e9, -5.0), (2.0,), ()])
    def test_odd_row_of_a_peer_changes_no_speed(self, values: tuple) -> None:
        # A sum of one number failed each placement; a huge one changed all speeds.
        vm = Vm()
        vm.serve(5.0)
        row = ("speeds", build_key(SERVERS[0]), *values)
        vm.sums.apply_peer_rows("odd", [row], vm.now)
        vm.now += 0.3
        assert vm.find() == {}

    def test_update_has_a_bounded_number_of_rows(self) -> None:
        vm = Vm()
        vm.serve(1.0)
        for number in range(2 * MAX_ROWS):
            vm.record(SERVERS[0]._replace(name=f"x{number}"), 0.1)
        vm.record(SERVERS[0], 0.1)
        rows = dict(vm.table.list_rows(vm.now))
        assert len(rows) == MAX_ROWS
        assert build_key(SERVERS[0]) in rows
        assert vm.table.list_rows(vm.now + 60.0) == []

    def test_first_answers_of_a_kind_only_set_the_baseline(self) -> None:
        vm = Vm()
        for _ in range(10):
            vm.record(SERVERS[0], 0.1)
        assert vm.table.list_rows(vm.now) == []
        vm.record(SERVERS[0], 0.1)
        assert len(vm.table.list_rows(vm.now)) == 1

    def test_speeds_within_the_threshold_are_one(self) -> None:
        assert limit_speed(0.13) == limit_speed(-0.13) == 1.0
        assert limit_speed(0.3) == pytest.approx(1.35)
        assert (limit_speed(-9.0), limit_speed(9.0)) == (0.2, 5.0)

    def test_mean_of_logarithms_is_zero(self) -> None:
        sums = {"a": (-30.0, 20.0), "b": (5.0, 30.0), "c": (0.0, 0.0)}
        logs = find_log_speeds(sums)
        assert sum(logs.values()) == pytest.approx(0.0)
        assert logs["c"] == 0.0


MIXED = {
    f"{kind}{number}": speed
    for kind, speed in (("slow", 0.6), ("mid", 1.0), ("fast", 1.6))
    for number in range(3)
}
EQUAL = {f"s{number}": 1.0 for number in range(9)}
TARGET_SECONDS = 0.4


class TestServersOfDifferentSpeed:
    """Load: servers of speed 0.6, 1.0 and 1.6 are used at 0.8 of their capacity."""

    def count_late(self, estimates: bool) -> float:
        """Return the part of the callers that were served after the target."""
        served = []
        for seed in (1, 2, 3):
            simulation = SpeedSimulation(MIXED, 0.8, estimates, seed)
            served += [one for one in simulation.run(20.0) if one.at > 4.0]
        return sum(one.seconds > TARGET_SECONDS for one in served) / len(served)

    def test_fewer_callers_are_served_late(self) -> None:
        assert self.count_late(True) <= 0.7 * self.count_late(False)


class TestServerThatSlowsDown:
    """Load: a server slows down by 5 for six seconds, and recovers."""

    def measure(self, estimates: bool) -> tuple[float, float]:
        """Return its part of an equal share from 2 s on, and 4 s after the end."""
        counts = Counter()
        for seed in range(1, 6):
            simulation = SpeedSimulation(EQUAL, 0.5, estimates, seed, self.slow_down)
            for one in simulation.run(20.0):
                for first, last in ((8.0, 12.0), (16.0, 20.0)):
                    if first <= one.at < last:
                        counts[first, one.server == "s0"] += 1
        return tuple(
            9 * counts[first, True] / (counts[first, True] + counts[first, False])
            for first in (8.0, 16.0)
        )

    def slow_down(self, name: str, now: float) -> float:
        return 0.2 if name == "s0" and 6.0 <= now < 12.0 else 1.0

    def test_it_loses_most_of_its_share_and_gets_it_back(self) -> None:
        slow, recovered = self.measure(True)
        assert slow < 0.3
        assert recovered > 0.85
        assert slow < 0.85 * self.measure(False)[0]
