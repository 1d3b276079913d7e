"""Tests of relay selection and of the state updates sent through relays."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred

from tests.support._simulated_fleet import LINK_SECONDS, SimulatedFleet
from wisteriagw.gateway._lost_usage_writer import LostUsageWriter
from wisteriagw.gateway._usage_copies import LOST_SECONDS, UsageCopies
from wisteriagw.gateway._usage_windows import UsageWindows
from wisteriagw.platform import StoreRecord
from wisteriagw.relays import PeerFailureDetector, choose_relay_peers, choose_relays
from wisteriagw.standins import TopicStore

SIZES = {"north": 6, "south": 5, "west": 1}
ENTRY = {
    "service": "lm",
    "address": "10.0.0.1:80",
    "zone": "north",
    "slots": 4,
    "state": "ready",
    "born": 1,
}


def build_entry(offset: int, state: str = "ready", name: str = "i-1") -> StoreRecord:
    """Return the record of a backend server."""
    return StoreRecord(offset, name, json.dumps({**ENTRY, "state": state}).encode())


class TestChooseRelays:
    """VMs of low capacity must not be relays while others are available."""

    def test_greater_capacity_comes_first(self) -> None:
        capacities = {"a": 0.5, "b": 2.0, "c": 0.5, "d": 2.0}
        assert set(choose_relays("north", capacities, capacities)) == {"b", "d"}

    def test_loss_of_a_relay_keeps_the_other(self) -> None:
        vms = [f"vm-{number}" for number in range(8)]
        first, second = choose_relays("north", vms)
        vms.remove(first)
        assert choose_relays("north", vms)[0] == second


class TestChooseRelayPeers:
    """Updates must reach every VM, and the number of peers must stay small."""

    CENTRES = {
        "north": dict.fromkeys(("n1", "n2", "n3", "n4"), 1.0),
        "south": dict.fromkeys(("s1", "s2", "s3"), 1.0),
    }

    def choose(
        self,
        vm,
        *,
        suspected=(),
        probed=(),
        served=(),
        relay_senders=(),
        selected=False,
    ):
        return choose_relay_peers(
            (vm, "north"),
            self.CENTRES,
            lambda other: other in suspected,
            lambda other: other in probed,
            served,
            relay_senders,
            selected,
        )

    def find_roles(self) -> tuple[list[str], list[str]]:
        relays = choose_relays("north", self.CENTRES["north"])
        return relays, [vm for vm in self.CENTRES["north"] if vm not in relays]

    def test_other_vm_sends_to_its_relays_only(self) -> None:
        relays, others = self.find_roles()
        peers = self.choose(others[0])
        assert peers.list_all() == set(relays)
        assert not peers.is_relay

    def test_relay_sends_to_all_relays_and_its_served_vms(self) -> None:
        relays, others = self.find_roles()
        peers = self.choose(relays[0], served=others)
        remote = choose_relays("south", self.CENTRES["south"])
        assert peers.is_relay
        assert set(peers.selected_relays) == {relays[1], *remote}
        assert set(peers.served_vms) == set(others)

    def test_suspected_relay_is_replaced(self) -> None:
        relays, others = self.find_roles()
        peers = self.choose(others[0], suspected=relays)
        assert peers.is_relay
        assert peers.relays == (others[1],)

    def test_suspected_relay_is_probed_beside_its_substitute(self) -> None:
        relays, others = self.find_roles()
        peers = self.choose(others[0], suspected=relays[:1], probed=relays[:1])
        assert peers.relays[0] == relays[1]
        assert peers.relays[-1] == relays[0]

    def test_vm_that_is_used_as_a_relay_is_one(self) -> None:
        _, others = self.find_roles()
        assert self.choose(others[0], served=[others[1]]).served_vms == (others[1],)
        assert self.choose(others[0], relay_senders=["s1"], selected=True).is_relay

    def test_replies_make_no_relay(self) -> None:
        _, others = self.find_roles()
        assert not self.choose(others[0], relay_senders=["s1"]).is_relay


class TestPeerFailureDetector:
    """A peer that does not answer must be left out, and probed again."""

    def test_answering_peer_is_not_suspected(self) -> None:
        detector = PeerFailureDetector(1.0)
        for now in (0.0, 0.6, 1.2, 1.8):
            detector.set_expected(["a"], now)
            detector.record_message("a", now)
            assert not detector.is_suspected("a", now + 0.5)

    def test_timeout_counts_from_the_first_expectation(self) -> None:
        detector = PeerFailureDetector(1.0)
        detector.set_expected(["a"], 5.0)
        detector.set_expected(["a"], 5.9)
        assert not detector.is_suspected("a", 5.9)
        assert detector.is_suspected("a", 6.1)

    def test_suspected_peer_is_probed_again(self) -> None:
        detector = PeerFailureDetector(1.0)
        detector.set_expected(["a"], 0.0)
        assert detector.is_suspected("a", 1.5)
        assert not detector.is_probed("a", 3.0)
        assert detector.is_probed("a", 6.0)
        assert detector.is_suspected("a", 6.0)
        assert not detector.is_probed("a", 7.0)

    def test_message_of_a_suspected_peer_ends_the_suspicion(self) -> None:
        detector = PeerFailureDetector(1.0)
        detector.set_expected(["a"], 0.0)
        assert detector.is_suspected("a", 1.5)
        detector.record_message("a", 1.6)
        assert not detector.is_suspected("a", 1.7)


class TestUpdatesThroughRelays:
    """Every VM must count the work of all VMs once, whichever relays forward it."""

    def start(self, seconds: float = 3.0) -> SimulatedFleet:
        fleet = SimulatedFleet(SIZES)
        fleet.advance(seconds)
        return fleet

    def test_work_of_all_vms_is_known_everywhere(self) -> None:
        fleet = self.start()
        for gateway in fleet.gateways.values():
            gateway.work.add("i-1", 100.0, 1)
        fleet.advance(2.0)
        for gateway in fleet.gateways.values():
            assert gateway.find_work("i-1") == pytest.approx(len(fleet.gateways))

    def test_own_work_is_counted_once_while_it_changes(self) -> None:
        fleet = self.start()
        for vm, gateway in fleet.gateways.items():
            gateway.work.add("i-1", 0.0, 1)
            assert gateway.find_work("i-1") == 1.0, vm
        fleet.advance(2.0)
        for gateway in fleet.gateways.values():
            gateway.work.add("i-1", 0.0, -1)
            assert gateway.find_work("i-1") == len(fleet.gateways) - 1

    def test_only_relays_send_to_other_data_centres(self) -> None:
        fleet = self.start()
        for data_centre, count in SIZES.items():
            relays = fleet.list_relays(data_centre)
            assert len(relays) == min(2, count)
        for vm, gateway in fleet.gateways.items():
            if not gateway.exchange.peers.is_relay:
                assert len(gateway.mesh.peers) == 2, vm

    def test_loss_of_both_relays_is_compensated(self) -> None:
        fleet = self.start()
        lost = fleet.list_relays("north")
        fleet.down.update(lost)
        fleet.advance(4.0)
        assert fleet.list_relays("north")
        living = [g for vm, g in fleet.gateways.items() if vm not in fleet.down]
        for gateway in living:
            gateway.work.add("i-1", 0.0, 1)
        fleet.advance(2.0)
        for gateway in living:
            assert gateway.find_work("i-1") == len(living)

    def test_substitute_relays_stop_when_the_first_return(self) -> None:
        fleet = self.start()
        lost = set(fleet.list_relays("north"))
        fleet.down.update(lost)
        fleet.advance(4.0)
        fleet.down.clear()
        fleet.advance(8.0)
        assert set(fleet.list_relays("north")) == lost

    def test_result_is_counted_once(self) -> None:
        fleet = self.start()
        now = fleet.clock.seconds
        for vm in fleet.gateways:
            gateway = fleet.gateways[vm]
            gateway.work.record_failure("i-1", gateway.clock.seconds())
            break
        fleet.advance(1.5)
        seen = []
        for gateway in fleet.gateways.values():
            seen.append(
                gateway.work.get_failure_penalty("i-1", gateway.clock.seconds())
            )
        assert now() > 0
        # The suspicion has decayed less on VMs that received the result later.
        assert max(seen) < 1.6 * min(seen)

    def test_order_reaches_all_vms(self) -> None:
        fleet = self.start()
        next(iter(fleet.gateways.values())).exchange.announce_unavailable("i-1", 5.0)
        fleet.advance(1.0)
        for gateway in fleet.gateways.values():
            assert gateway.work.is_unavailable("i-1", gateway.clock.seconds())

    def test_unresponsive_and_unready_vms_are_left_out_everywhere(self) -> None:
        fleet = self.start()
        vms = list(fleet.gateways)
        fleet.gateways[vms[3]].ready = False
        fleet.down.add(vms[4])
        fleet.advance(4.0)
        for vm, gateway in fleet.gateways.items():
            if vm in fleet.down:
                continue
            up = {m.vm for m in gateway.members.list_ready(gateway.clock.seconds())}
            assert up == {*vms} - {vm, vms[3], vms[4]}

    def test_new_process_receives_the_cached_parts(self) -> None:
        fleet = self.start()
        for gateway in fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_entry(1)])
            gateway.exchange.record_cached_parts(
                gateway.fleet.fleet.servers["i-1"], [("part", 9)]
            )
        fleet.add("north-9", "north")
        new = fleet.gateways["north-9"]
        new.fleet.apply_relayed_changes([build_entry(1)])
        new.exchange.start()
        fleet.advance(3.0)
        assert new.work.parts.list_parts() == [("i-1", "part", 9)]


class TestReadConfirmation:
    """A VM may use a relay's read of the store, dated no later than it began."""

    def start(self) -> SimulatedFleet:
        fleet = SimulatedFleet(SIZES)
        for gateway in fleet.gateways.values():
            gateway.fleet.apply_relayed_changes([build_entry(1)])
        fleet.advance(3.0)
        return fleet

    def find_served_vm(self, fleet: SimulatedFleet) -> str:
        relays = fleet.list_relays("north")
        return next(
            vm for vm in fleet.gateways if vm[:5] == "north" and vm not in relays
        )

    def get_age(self, gateway) -> float:
        return gateway.configuration.get_age()

    def test_read_is_dated_before_it_began(self) -> None:
        fleet = self.start()
        receiver = fleet.gateways[self.find_served_vm(fleet)]
        for vm in fleet.list_relays("north"):
            fleet.gateways[vm].read_store()
        read_at = fleet.clock.seconds()
        fleet.advance(0.6)
        age = self.get_age(receiver)
        passed = fleet.clock.seconds() - read_at
        assert passed <= age <= passed + 2 * LINK_SECONDS + 0.2
        register_age = receiver.clock.seconds() - receiver.fleet.follower.read_at
        assert register_age >= passed

    @pytest.mark.parametrize("late", ["gateway update", "fleet update"])
    def test_delayed_message_does_not_look_new(self, late: str) -> None:
        fleet = self.start()
        name = self.find_served_vm(fleet)
        for vm in fleet.list_relays("north"):
            pair = (name, vm) if late == "gateway update" else (vm, name)
            fleet.extra_delay[pair] = 2.0
            fleet.gateways[vm].read_store()
        read_at = fleet.clock.seconds()
        for _ in range(80):
            fleet.advance(0.05)
            passed = fleet.clock.seconds() - read_at
            assert self.get_age(fleet.gateways[name]) >= passed - 1e-6

    def test_other_version_is_not_confirmed(self) -> None:
        fleet = self.start()
        receiver = fleet.gateways[self.find_served_vm(fleet)]
        newer = receiver.configuration.table._replace(version=9)
        for vm in fleet.list_relays("north"):
            fleet.gateways[vm].configuration.table = newer
            fleet.gateways[vm].read_store()
        fleet.advance(0.6)
        assert self.get_age(receiver) == float("inf")

    def test_other_register_is_not_confirmed(self) -> None:
        fleet = self.start()
        receiver = fleet.gateways[self.find_served_vm(fleet)]
        receiver.fleet.apply_relayed_changes([build_entry(7, name="i-7")])
        for vm in fleet.list_relays("north"):
            fleet.gateways[vm].read_store()
        fleet.advance(0.6)
        assert receiver.fleet.follower.read_at == float("-inf")
        assert self.get_age(receiver) < 2.0

    def test_leaving_server_is_forwarded(self) -> None:
        fleet = self.start()
        for vm in fleet.list_relays("north"):
            fleet.gateways[vm].fleet.apply_relayed_changes([build_entry(5, "draining")])
        fleet.advance(0.5)
        receiver = fleet.gateways[self.find_served_vm(fleet)]
        assert receiver.fleet.fleet.servers["i-1"].leaving

    def test_late_update_of_a_relay_does_not_restore_a_server(self) -> None:
        fleet = self.start()
        receiver = fleet.gateways[self.find_served_vm(fleet)]
        receiver.fleet.apply_relayed_changes([build_entry(5, "draining")])
        receiver.fleet.apply_relayed_changes([build_entry(4, "ready")])
        assert receiver.fleet.fleet.servers["i-1"].leaving
        receiver.fleet.apply_relayed_changes([StoreRecord(6, "i-1", b"")])
        receiver.fleet.apply_relayed_changes([build_entry(5, "draining")])
        assert receiver.fleet.fleet.servers == {}


class TestConfirmedFollower:
    """Confirmed reads must save calls of the store, until they are too old."""

    def test_confirmed_reads_replace_own_ones(self) -> None:
        fleet = SimulatedFleet({"north": 1})
        gateway = fleet.gateways["north-1"]
        follower = gateway.configuration.follower
        follower.min_read_interval = 0.1
        follower.start()
        fleet.advance(1.0)
        for _ in range(20):
            follower.confirm_read(gateway.clock.seconds())
            fleet.advance(0.1)
        before = gateway.store.calls
        for _ in range(20):
            follower.confirm_read(gateway.clock.seconds())
            fleet.advance(0.1)
        assert gateway.store.calls == before
        fleet.advance(1.5)
        assert gateway.store.calls > before

    def test_resumed_reads_end_a_pause(self) -> None:
        fleet = SimulatedFleet({"north": 1})
        gateway = fleet.gateways["north-1"]
        follower = gateway.configuration.follower
        follower.min_read_interval = 0.1
        follower.start()
        follower.confirm_read(gateway.clock.seconds())
        fleet.advance(0.3)
        before = gateway.store.calls
        follower.resume_reads()
        fleet.advance(0.1)
        assert gateway.store.calls > before


class TestLostUsage:
    """Requests of a process that was killed must be billed once."""

    def record(self, copies: UsageCopies, process: str, count: int, now: float) -> None:
        copies.record_counts("vm-1", process, ((5, "t", count),), now)

    def run(self, writer: LostUsageWriter, now: float) -> None:
        Deferred.fromCoroutine(writer.run_cycle(now))

    def read(self, store: TopicStore) -> UsageWindows:
        windows = UsageWindows()
        windows.apply_records(tuple(store.list_records("usage", 0)))
        return windows

    def test_counts_of_a_replaced_process_are_written(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.record(copies, "a", 3, 1.0)
        self.run(writer, 1.2)
        assert store.get_end("usage") == 0
        copies.record_counts("vm-1", "b", (), 1.5)
        self.run(writer, 1.6)
        windows = self.read(store)
        assert windows.sum_counts(5, {}) == {"t": 3}
        # The new process has not written its own counts of the window yet.
        assert not windows.is_complete(5, ["vm-1"])

    def test_counts_of_an_unresponsive_process_are_written_once(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.record(copies, "a", 3, 1.0)
        for step in range(5):
            self.run(writer, 1.0 + LOST_SECONDS + 0.1 + step)
        assert store.get_end("usage") == 1

    def test_outage_of_the_store_delays_it(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.record(copies, "a", 3, 1.0)
        store.down = True
        self.run(writer, 4.0)
        store.down = False
        self.run(writer, 4.5)
        assert self.read(store).sum_counts(5, {}) == {"t": 3}

    @pytest.mark.parametrize("vm", ["west-1", "north-1", "north-6"])
    def test_some_other_vm_keeps_the_counts_of_each(self, vm: str) -> None:
        fleet = SimulatedFleet(SIZES)
        fleet.advance(3.0)
        fleet.gateways[vm].usage.count("t")
        fleet.advance(1.5)
        fleet.down.add(vm)
        fleet.advance(LOST_SECONDS + 1.0)
        found = set()
        for name, gateway in fleet.gateways.items():
            for copy in gateway.copies.pop_lost(gateway.clock.seconds()):
                if name != vm and copy.vm == vm:
                    found.update(str(counts) for counts in copy.windows.values())
        assert found == {"{'t': 1}"}

    def test_copies_do_not_grow(self) -> None:
        copies = UsageCopies()
        for window in range(50):
            copies.record_counts("vm-1", "a", ((window, "t", 1),), float(window))
            copies.prune(window)
        copies.record_counts("vm-1", "b", ((49, "t", 1),), 50.0)
        assert sum(bool(copies.get(window)) for window in range(50)) < 10
        copies.prune(70)
        assert copies.pop_lost(200.0) == []

    def test_copy_that_is_older_than_the_own_record_changes_nothing(self) -> None:
        windows = UsageWindows()
        own = {"vm": "vm-1", "incarnation": "a", "windows": {"5": {"t": 4}}}
        copy = {**own, "windows": {"5": {"t": 3}}, "copy": True}
        windows.apply_records(
            tuple(
                StoreRecord(offset, "", json.dumps(fields).encode())
                for offset, fields in enumerate((own, copy))
            )
        )
        assert windows.sum_counts(5, {}) == {"t": 4}
