"""Tests of the relays between VMs and of what VMs learn through them."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred

from tests.support._news_fleet import LINK_SECONDS, NewsFleet
from wisteriagw.gateway._lost_usage_writer import LostUsageWriter
from wisteriagw.gateway._usage_copies import LOST_SECONDS, UsageCopies
from wisteriagw.gateway._usage_windows import UsageWindows
from wisteriagw.platform import StoreRecord
from wisteriagw.relays import AnswerWatch, choose_links, choose_relays
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
    """Weak VMs must not carry the messages of a data centre while others are there."""

    def test_greater_capacity_comes_first(self) -> None:
        capacities = {"a": 0.5, "b": 2.0, "c": 0.5, "d": 2.0}
        assert set(choose_relays("north", capacities, capacities)) == {"b", "d"}

    def test_loss_of_a_relay_keeps_the_other(self) -> None:
        vms = [f"vm-{number}" for number in range(8)]
        first, second = choose_relays("north", vms)
        vms.remove(first)
        assert choose_relays("north", vms)[0] == second


class TestChooseLinks:
    """Messages must reach every VM, and the number of peers must stay small."""

    CENTRES = {
        "north": dict.fromkeys(("n1", "n2", "n3", "n4"), 1.0),
        "south": dict.fromkeys(("s1", "s2", "s3"), 1.0),
    }

    def choose(
        self, vm, *, silent=(), probed=(), served=(), speakers=(), addressed=False
    ):
        return choose_links(
            (vm, "north"),
            self.CENTRES,
            lambda other: other in silent,
            lambda other: other in probed,
            served,
            speakers,
            addressed,
        )

    def find_roles(self) -> tuple[list[str], list[str]]:
        relays = choose_relays("north", self.CENTRES["north"])
        return relays, [vm for vm in self.CENTRES["north"] if vm not in relays]

    def test_other_vm_speaks_to_its_relays_only(self) -> None:
        relays, others = self.find_roles()
        links = self.choose(others[0])
        assert links.list_peers() == set(relays)
        assert not links.acting

    def test_relay_speaks_to_all_relays_and_its_members(self) -> None:
        relays, others = self.find_roles()
        links = self.choose(relays[0], served=others)
        remote = choose_relays("south", self.CENTRES["south"])
        assert links.acting
        assert set(links.chosen) == {relays[1], *remote}
        assert set(links.members) == set(others)

    def test_silent_relay_is_replaced(self) -> None:
        relays, others = self.find_roles()
        links = self.choose(others[0], silent=relays)
        assert links.acting
        assert links.relays == (others[1],)

    def test_silent_relay_is_tried_beside_its_stand_in(self) -> None:
        relays, others = self.find_roles()
        links = self.choose(others[0], silent=relays[:1], probed=relays[:1])
        assert links.relays[0] == relays[1]
        assert links.relays[-1] == relays[0]

    def test_vm_that_is_taken_for_a_relay_acts_as_one(self) -> None:
        _, others = self.find_roles()
        assert self.choose(others[0], served=[others[1]]).members == (others[1],)
        assert self.choose(others[0], speakers=["s1"], addressed=True).acting

    def test_being_answered_makes_no_relay(self) -> None:
        _, others = self.find_roles()
        assert not self.choose(others[0], speakers=["s1"]).acting


class TestAnswerWatch:
    """A peer that does not answer must be passed over, and tried again."""

    def test_answering_peer_is_not_silent(self) -> None:
        watch = AnswerWatch(1.0)
        for now in (0.0, 0.6, 1.2, 1.8):
            watch.note_asked(["a"], now)
            watch.note_heard("a", now)
            assert not watch.is_silent("a", now + 0.5)

    def test_silence_counts_from_the_first_question(self) -> None:
        watch = AnswerWatch(1.0)
        watch.note_asked(["a"], 5.0)
        watch.note_asked(["a"], 5.9)
        assert not watch.is_silent("a", 5.9)
        assert watch.is_silent("a", 6.1)

    def test_silent_peer_is_tried_again(self) -> None:
        watch = AnswerWatch(1.0)
        watch.note_asked(["a"], 0.0)
        assert watch.is_silent("a", 1.5)
        assert not watch.is_probed("a", 3.0)
        assert watch.is_probed("a", 6.0)
        assert watch.is_silent("a", 6.0)
        assert not watch.is_probed("a", 7.0)

    def test_word_of_a_silent_peer_ends_its_silence(self) -> None:
        watch = AnswerWatch(1.0)
        watch.note_asked(["a"], 0.0)
        assert watch.is_silent("a", 1.5)
        watch.note_heard("a", 1.6)
        assert not watch.is_silent("a", 1.7)


class TestNewsThroughRelays:
    """Every VM must know the work of all, once, whoever relays it."""

    def start(self, seconds: float = 3.0) -> NewsFleet:
        fleet = NewsFleet(SIZES)
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

    def test_only_relays_speak_to_other_data_centres(self) -> None:
        fleet = self.start()
        for data_centre, count in SIZES.items():
            acting = fleet.list_acting(data_centre)
            assert len(acting) == min(2, count)
        for vm, gateway in fleet.gateways.items():
            if not gateway.exchange.links.acting:
                assert len(gateway.mesh.peers) == 2, vm

    def test_loss_of_both_relays_is_made_up_for(self) -> None:
        fleet = self.start()
        lost = fleet.list_acting("north")
        fleet.down.update(lost)
        fleet.advance(4.0)
        assert fleet.list_acting("north")
        living = [g for vm, g in fleet.gateways.items() if vm not in fleet.down]
        for gateway in living:
            gateway.work.add("i-1", 0.0, 1)
        fleet.advance(2.0)
        for gateway in living:
            assert gateway.find_work("i-1") == len(living)

    def test_relays_that_stood_in_end_when_the_first_are_back(self) -> None:
        fleet = self.start()
        lost = set(fleet.list_acting("north"))
        fleet.down.update(lost)
        fleet.advance(4.0)
        fleet.down.clear()
        fleet.advance(8.0)
        assert set(fleet.list_acting("north")) == lost

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
        # Those that heard of it later have let less of it fade.
        assert max(seen) < 1.6 * min(seen)

    def test_order_reaches_all_vms(self) -> None:
        fleet = self.start()
        next(iter(fleet.gateways.values())).exchange.announce_away("i-1", 5.0)
        fleet.advance(1.0)
        for gateway in fleet.gateways.values():
            assert gateway.work.is_unavailable("i-1", gateway.clock.seconds())

    def test_silent_and_unready_vms_are_left_out_everywhere(self) -> None:
        fleet = self.start()
        vms = list(fleet.gateways)
        fleet.gateways[vms[3]].ready = False
        fleet.down.add(vms[4])
        fleet.advance(4.0)
        for vm, gateway in fleet.gateways.items():
            if vm in fleet.down:
                continue
            up = {m.vm for m in gateway.members.list_up(gateway.clock.seconds())}
            assert up == {*vms} - {vm, vms[3], vms[4]}

    def test_new_process_learns_what_engines_keep(self) -> None:
        fleet = self.start()
        for gateway in fleet.gateways.values():
            gateway.fleet.take_told([build_entry(1)])
            gateway.exchange.take_survey(
                gateway.fleet.fleet.servers["i-1"], [("part", 9)]
            )
        fleet.add("north-9", "north")
        new = fleet.gateways["north-9"]
        new.fleet.take_told([build_entry(1)])
        new.exchange.start()
        fleet.advance(3.0)
        assert new.work.parts.list_parts() == [("i-1", "part", 9)]


class TestVouchedReads:
    """A VM may rely on a relay's read of the store, but not take it for a later one."""

    def start(self) -> NewsFleet:
        fleet = NewsFleet(SIZES)
        for gateway in fleet.gateways.values():
            gateway.fleet.take_told([build_entry(1)])
        fleet.advance(3.0)
        return fleet

    def find_member(self, fleet: NewsFleet) -> str:
        acting = fleet.list_acting("north")
        return next(
            vm for vm in fleet.gateways if vm[:5] == "north" and vm not in acting
        )

    def get_age(self, gateway) -> float:
        return gateway.configuration.get_age()

    def test_read_is_dated_before_it_began(self) -> None:
        fleet = self.start()
        member = fleet.gateways[self.find_member(fleet)]
        for vm in fleet.list_acting("north"):
            fleet.gateways[vm].read_store()
        read_at = fleet.clock.seconds()
        fleet.advance(0.6)
        age = self.get_age(member)
        passed = fleet.clock.seconds() - read_at
        assert passed <= age <= passed + 2 * LINK_SECONDS + 0.2
        register_age = member.clock.seconds() - member.fleet.follower.read_at
        assert register_age >= passed

    @pytest.mark.parametrize("late", ["news", "answer"])
    def test_message_that_was_held_up_does_not_look_new(self, late: str) -> None:
        fleet = self.start()
        name = self.find_member(fleet)
        for vm in fleet.list_acting("north"):
            pair = (name, vm) if late == "news" else (vm, name)
            fleet.extra_delay[pair] = 2.0
            fleet.gateways[vm].read_store()
        read_at = fleet.clock.seconds()
        for _ in range(80):
            fleet.advance(0.05)
            passed = fleet.clock.seconds() - read_at
            assert self.get_age(fleet.gateways[name]) >= passed - 1e-6

    def test_other_version_is_not_vouched_for(self) -> None:
        fleet = self.start()
        member = fleet.gateways[self.find_member(fleet)]
        newer = member.configuration.table._replace(version=9)
        for vm in fleet.list_acting("north"):
            fleet.gateways[vm].configuration.table = newer
            fleet.gateways[vm].read_store()
        fleet.advance(0.6)
        assert self.get_age(member) == float("inf")

    def test_other_register_is_not_vouched_for(self) -> None:
        fleet = self.start()
        member = fleet.gateways[self.find_member(fleet)]
        member.fleet.take_told([build_entry(7, name="i-7")])
        for vm in fleet.list_acting("north"):
            fleet.gateways[vm].read_store()
        fleet.advance(0.6)
        assert member.fleet.follower.read_at == float("-inf")
        assert self.get_age(member) < 2.0

    def test_leaving_server_is_told_of(self) -> None:
        fleet = self.start()
        for vm in fleet.list_acting("north"):
            fleet.gateways[vm].fleet.take_told([build_entry(5, "draining")])
        fleet.advance(0.5)
        member = fleet.gateways[self.find_member(fleet)]
        assert member.fleet.fleet.servers["i-1"].leaving

    def test_late_word_of_a_relay_does_not_bring_a_server_back(self) -> None:
        fleet = self.start()
        member = fleet.gateways[self.find_member(fleet)]
        member.fleet.take_told([build_entry(5, "draining")])
        member.fleet.take_told([build_entry(4, "ready")])
        assert member.fleet.fleet.servers["i-1"].leaving
        member.fleet.take_told([StoreRecord(6, "i-1", b"")])
        member.fleet.take_told([build_entry(5, "draining")])
        assert member.fleet.fleet.servers == {}


class TestHeldFollower:
    """Reads of relays must spare the store's calls, and end when they grow old."""

    def test_vouched_reads_replace_own_ones(self) -> None:
        fleet = NewsFleet({"north": 1})
        gateway = fleet.gateways["north-1"]
        follower = gateway.configuration.follower
        follower.pace = 0.1
        follower.start()
        fleet.advance(1.0)
        for _ in range(20):
            follower.vouch(gateway.clock.seconds())
            fleet.advance(0.1)
        before = gateway.store.calls
        for _ in range(20):
            follower.vouch(gateway.clock.seconds())
            fleet.advance(0.1)
        assert gateway.store.calls == before
        fleet.advance(1.5)
        assert gateway.store.calls > before

    def test_word_of_something_newer_leads_to_a_read(self) -> None:
        fleet = NewsFleet({"north": 1})
        gateway = fleet.gateways["north-1"]
        follower = gateway.configuration.follower
        follower.pace = 0.1
        follower.start()
        follower.vouch(gateway.clock.seconds())
        fleet.advance(0.3)
        before = gateway.store.calls
        follower.hurry()
        fleet.advance(0.1)
        assert gateway.store.calls > before


class TestLostUsage:
    """Requests of a process that was killed must be billed, and counted once."""

    def take(self, copies: UsageCopies, process: str, count: int, now: float) -> None:
        copies.take("vm-1", process, ((5, "t", count),), now)

    def run(self, writer: LostUsageWriter, now: float) -> None:
        Deferred.fromCoroutine(writer.run_turn(now))

    def read(self, store: TopicStore) -> UsageWindows:
        windows = UsageWindows()
        windows.take_records(tuple(store.list_records("usage", 0)))
        return windows

    def test_counts_of_a_replaced_process_are_written(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.take(copies, "a", 3, 1.0)
        self.run(writer, 1.2)
        assert store.get_end("usage") == 0
        copies.take("vm-1", "b", (), 1.5)
        self.run(writer, 1.6)
        windows = self.read(store)
        assert windows.sum_counts(5, {}) == {"t": 3}
        # The new process has not told its own counts of the window yet.
        assert not windows.is_complete(5, ["vm-1"])

    def test_counts_of_a_silent_process_are_written_once(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.take(copies, "a", 3, 1.0)
        for step in range(5):
            self.run(writer, 1.0 + LOST_SECONDS + 0.1 + step)
        assert store.get_end("usage") == 1

    def test_outage_of_the_store_delays_it(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        writer = LostUsageWriter(store, copies)
        self.take(copies, "a", 3, 1.0)
        store.down = True
        self.run(writer, 4.0)
        store.down = False
        self.run(writer, 4.5)
        assert self.read(store).sum_counts(5, {}) == {"t": 3}

    @pytest.mark.parametrize("vm", ["west-1", "north-1", "north-6"])
    def test_some_other_vm_keeps_the_counts_of_each(self, vm: str) -> None:
        fleet = NewsFleet(SIZES)
        fleet.advance(3.0)
        fleet.gateways[vm].usage.count("t")
        fleet.advance(1.5)
        fleet.down.add(vm)
        fleet.advance(LOST_SECONDS + 1.0)
        found = set()
        for name, gateway in fleet.gateways.items():
            for copy in gateway.copies.take_lost(gateway.clock.seconds()):
                if name != vm and copy.vm == vm:
                    found.update(str(counts) for counts in copy.windows.values())
        assert found == {"{'t': 1}"}

    def test_copies_do_not_grow(self) -> None:
        copies = UsageCopies()
        for window in range(50):
            copies.take("vm-1", "a", ((window, "t", 1),), float(window))
            copies.prune(window)
        copies.take("vm-1", "b", ((49, "t", 1),), 50.0)
        assert sum(bool(copies.get(window)) for window in range(50)) < 10
        copies.prune(70)
        assert copies.take_lost(200.0) == []

    def test_copy_that_is_older_than_the_own_record_changes_nothing(self) -> None:
        windows = UsageWindows()
        own = {"vm": "vm-1", "incarnation": "a", "windows": {"5": {"t": 4}}}
        copy = {**own, "windows": {"5": {"t": 3}}, "copy": True}
        windows.take_records(
            tuple(
                StoreRecord(offset, "", json.dumps(fields).encode())
                for offset, fields in enumerate((own, copy))
            )
        )
        assert windows.sum_counts(5, {}) == {"t": 4}
