"""Tests of membership."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support import SimulatedMesh
from wisteriagw.entry._permit_loss import PermitLoss, track_permit
from wisteriagw.membership import (
    apply_heartbeat,
    choose_entry_vms,
    choose_pair_relay,
    choose_relays,
    get_status,
    is_backend_leaving,
    list_direct_peers,
    list_relay_peers,
    merge_departures,
)
from wisteriagw.membership._departures import expire_departures, select_departures
from wisteriagw.messages import Heartbeat

CALLERS = [f"10.0.{n // 250}.{n % 250}" for n in range(4000)]


def get_statuses(mesh: SimulatedMesh, viewer: str) -> dict[str, str]:
    """Return the status of every VM as one VM sees it."""
    membership = mesh.vms[viewer].membership
    return {
        member.vm: get_status(membership.state, member, membership.clock()).value
        for member in membership.state.members.values()
    }


def list_available(mesh: SimulatedMesh, viewer: str) -> set[str]:
    """Return the VMs whose addresses a VM gives to callers."""
    return {member.vm for member in mesh.vms[viewer].membership.list_available()}


class TestSuspicion:
    """Guards against failed VMs in answers and slow links taken for failures."""

    def setup_method(self) -> None:
        self.mesh = SimulatedMesh(5)
        self.mesh.run(4)

    def test_unresponsive_vm_is_suspected_and_then_failed(self) -> None:
        self.mesh.paused.add("vm-1")
        self.mesh.run(2)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "alive"
        self.mesh.run(2)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "suspect"
        assert "vm-1" not in list_available(self.mesh, "vm-0")
        self.mesh.run(6)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "failed"
        self.mesh.paused.clear()
        self.mesh.run(1.5)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "alive"

    def test_slow_link_is_not_taken_for_a_failure(self) -> None:
        self.mesh.cut_links |= {("vm-0", "vm-1"), ("vm-1", "vm-0")}
        self.mesh.run(2)

        def check() -> None:
            assert get_statuses(self.mesh, "vm-0")["vm-1"] != "failed"

        self.mesh.run(40, check)

    def test_failure_behind_a_slow_link_is_detected(self) -> None:
        self.mesh.cut_links |= {("vm-0", "vm-1"), ("vm-1", "vm-0")}
        self.mesh.run(20)
        self.mesh.paused.add("vm-1")
        self.mesh.run(12)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "failed"

    def test_own_pause_does_not_make_others_suspected(self) -> None:
        self.mesh.paused.add("vm-0")
        self.mesh.run(30)
        # The timer fires before the buffered heartbeats are read from the sockets.
        self.mesh.vms["vm-0"].membership.tick()
        assert set(get_statuses(self.mesh, "vm-0").values()) == {"alive"}

    def test_restarted_process_replaces_old_heartbeats(self) -> None:
        vm = self.mesh.vms["vm-0"].membership
        old = Heartbeat("vm-1", "dc0", 1, 99, True, True, 5, 0, 0, 1000)
        assert apply_heartbeat(vm.state, old, vm.clock()) is vm.state
        # The wall clock was set back, so the new incarnation is lower than the old
        # one; peers ignore the process until it raises its incarnation.
        self.mesh.now -= 500
        self.mesh.restart("vm-1")
        self.mesh.now += 500
        self.mesh.run(4)
        assert get_statuses(self.mesh, "vm-0")["vm-1"] == "alive"

    def test_leaving_vm_is_dropped_and_keeps_its_vote(self) -> None:
        self.mesh.vms["vm-1"].membership.leaving = True
        self.mesh.run(1.5)
        for name in self.mesh.vms:
            assert "vm-1" not in list_available(self.mesh, name)
        self.mesh.paused |= {"vm-2", "vm-3"}
        self.mesh.log_down = True
        self.mesh.run(6)
        assert self.mesh.list_serving() == {"vm-0", "vm-1", "vm-4"}


class TestRelayedMesh:
    """Guards against undetected failures across relays and relays not replaced."""

    def setup_method(self) -> None:
        self.mesh = SimulatedMesh(21, data_centres=3, step=0.125)
        self.mesh.run(6)

    def test_each_pair_of_data_centres_has_one_link(self) -> None:
        links: Counter[tuple[str, ...]] = Counter()
        for vm in self.mesh.vms.values():
            state = vm.membership.state
            assert len(list_direct_peers(state)) == 6
            for peer in list_relay_peers(state, vm.membership.clock()):
                pair = (state.data_centre, state.members[peer].data_centre)
                links[pair] += 1
        assert set(links.values()) == {1}
        assert len(links) == 6

    def test_failed_relays_are_detected_everywhere_and_replaced(self) -> None:
        vms = [entry.name for entry in self.mesh.entries if entry.data_centre == "dc0"]
        relays = set(choose_relays("dc0", vms))
        self.mesh.paused |= relays
        self.mesh.run(20)
        for name in set(self.mesh.vms) - relays:
            assert set(self.mesh.vms) - list_available(self.mesh, name) == relays

    def test_confirmations_name_every_vm(self) -> None:
        confirmations = self.mesh.vms["vm-0"].membership.list_confirmations()
        assert len(confirmations) == 21
        clock = self.mesh.vms["vm-0"].membership.clock()
        assert all(clock - entry.proved_at < 4.5 for entry in confirmations)

    def test_pair_relay_is_one_of_two(self) -> None:
        vms = [f"vm-{n}" for n in range(20)]
        names = [f"dc{n}" for n in range(21)]
        chosen = Counter(choose_pair_relay("dc0", name, names, vms) for name in names)
        assert set(chosen) == set(choose_relays("dc0", vms))
        assert max(chosen.values()) == 11


class TestDepartures:
    """Guards against a merge that makes a leaving backend server available again."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        received=st.lists(
            st.tuples(st.sampled_from("ab"), st.integers(0, 3)), max_size=8
        ),
        seed=st.randoms(use_true_random=False),
    )
    def test_order_and_repeats_do_not_matter(self, received, seed) -> None:
        merged = merge_departures({}, received, 0.0)
        shuffled = [*received, *received]
        seed.shuffle(shuffled)
        assert merge_departures({}, shuffled, 0.0) == merged
        for backend_server, incarnation in received:
            assert is_backend_leaving(merged, backend_server, incarnation)
            assert not is_backend_leaving(merged, backend_server, 4)

    @pytest.mark.parametrize(("vms", "data_centres"), [(5, 1), (21, 3)])
    def test_first_departure_reaches_every_vm_within_3_seconds(
        self, vms, data_centres
    ) -> None:
        mesh = SimulatedMesh(vms, data_centres, step=0.125)
        mesh.run(6)
        mesh.vms["vm-1"].membership.merge_departures([("engine-a", 0)])
        mesh.run(3)
        for vm in mesh.vms.values():
            assert vm.membership.is_backend_leaving("engine-a")

    def test_old_departures_rotate_and_those_of_unknown_servers_expire(self) -> None:
        departures = merge_departures({}, [(f"engine-{n}", 0) for n in range(20)], 0.0)
        assert len(select_departures(departures, 1, 1.0)) == 20
        turns = [select_departures(departures, turn, 10.0) for turn in range(5)]
        assert {len(turn) for turn in turns} == {4}
        assert len(set().union(*turns)) == 20
        assert set(expire_departures(departures, {"engine-3"}, 10.0)) == {"engine-3"}


class TestAddresses:
    """Guards against answers that overload one VM or give a caller no alternative."""

    def count_first(self, mesh: SimulatedMesh, viewer: str) -> Counter[str]:
        available = mesh.vms[viewer].membership.list_available()
        own = mesh.vms[viewer].membership.state.data_centre
        return Counter(
            choose_entry_vms(caller, own, available)[0].vm for caller in CALLERS
        )

    def test_spread_is_even_also_after_a_failure_and_a_recovery(self) -> None:
        mesh = SimulatedMesh(8, data_centres=2)
        mesh.run(4)
        before = self.count_first(mesh, "vm-0")
        mesh.paused.add("vm-2")
        mesh.run(8)
        during = self.count_first(mesh, "vm-0")
        mesh.paused.clear()
        mesh.run(3)
        assert self.count_first(mesh, "vm-0") == before
        for counts, vms in ((before, 4), (during, 3)):
            assert len(counts) == vms
            even = len(CALLERS) / vms
            assert 0.9 * even < min(counts.values())
            assert max(counts.values()) < 1.1 * even

    def test_own_data_centre_first_and_others_named(self) -> None:
        mesh = SimulatedMesh(16, data_centres=2)
        mesh.run(4)
        available = mesh.vms["vm-0"].membership.list_available()
        places = [
            member.data_centre
            for member in choose_entry_vms(CALLERS[0], "dc0", available)
        ]
        assert places == ["dc0"] * 5 + ["dc1"] * 3

    def test_vm_without_a_permit_does_not_name_itself(self) -> None:
        mesh = SimulatedMesh(3)
        mesh.run(4)
        mesh.cut(["vm-1"])
        mesh.cut_off_log.add("vm-1")
        mesh.run(4)
        assert list_available(mesh, "vm-1") == set()


class TestPermitLoss:
    """Guards against streams that outlive the permit, or end at a short gap."""

    def test_streams_end_after_2_seconds_without_a_permit(self) -> None:
        loss, ended = PermitLoss(), []
        for now, held in ((0, False), (1.9, False), (2, True), (3, False), (5, False)):
            loss, must_end = track_permit(loss, held=held, now=now)
            ended.append(must_end)
        assert ended == [False, False, False, False, True]
