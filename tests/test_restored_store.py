"""Tests of a store that comes back from an older copy."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.support._store_calls import StoreCalls
from wisteriagw.eras import FOREVER, EraTracker, StorePosition
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._crashing_parts import CrashingParts
from wisteriagw.gateway._fleet_feed import FleetFeed
from wisteriagw.gateway._lost_usage_writer import LostUsageWriter
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import Members
from wisteriagw.gateway._quarantine_store import QuarantineStore
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway.notices._rows import decode_rows, encode_rows
from wisteriagw.notices import Departure
from wisteriagw.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    MEMBERS_TOPIC,
    QUARANTINES_TOPIC,
    REGISTER_TOPIC,
    USAGE_TOPIC,
    AppendConflictError,
    StoreClient,
    StoreRecord,
)
from wisteriagw.standins import TopicStore

ADDRESS = ("10.0.0.1", 80)
WITHDRAWAL_SECONDS = 5.0


def advance(clock: Clock, seconds: float) -> None:
    """Advance the virtual time in small steps."""
    for _ in range(round(seconds / 0.05)):
        clock.advance(0.05)


def build_client(clock: Clock, calls: StoreCalls) -> StoreClient:
    """Return the store client of a process that starts now."""
    return StoreClient(calls, ADDRESS, EraTracker(clock.seconds))


class TestConfigurationAfterRestore:
    """A VM that read on from its offset missed changes of the configuration."""

    def start(self, versions=(4, 8, 12, 16)) -> ConfigurationFeed:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.calls = StoreCalls(self.clock)
        for version in versions:
            self.publish(version)
            self.clock.advance(3.0)
        return self.start_vm()

    def start_vm(self) -> ConfigurationFeed:
        store = build_client(self.clock, self.calls)
        feed = ConfigurationFeed(
            self.clock, store, WITHDRAWAL_SECONDS, lambda table: None
        )
        feed.follower.start()
        advance(self.clock, 1.0)
        return feed

    def publish(self, version: int) -> None:
        fields = {"version": version, "routes": [], "services": [], "tenants": []}
        value = json.dumps(fields).encode()
        self.calls.server.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, value)

    @pytest.mark.parametrize(
        ("age", "written_again"),
        [(8.0, (16,)), (11.0, (16,)), (11.0, (12, 16)), (14.0, (12, 16))],
    )
    @pytest.mark.parametrize("away", [False, True])
    def test_change_after_the_log_has_grown_past_the_old_offset_is_in_force(
        self, age: float, written_again, away: bool
    ) -> None:
        feed = self.start()
        # A VM that is away meanwhile finds the log grown past its offset again.
        self.calls.server.down = away
        advance(self.clock, 2.0)
        self.calls.server.restore(age)
        for version in (*written_again, 18):
            self.publish(version)
        self.calls.server.down = False
        advance(self.clock, 3.0)
        assert feed.table.version == 18
        self.publish(21)
        advance(self.clock, 0.5)
        assert feed.table.version == 21

    def test_two_restores_in_a_row(self) -> None:
        feed = self.start()
        for version in (20, 24):
            self.calls.server.restore(8.0)
            self.publish(16)
            self.publish(version)
            advance(self.clock, 2.0)
            assert feed.table.version == version

    def test_version_never_decreases(self) -> None:
        feed = self.start()
        self.calls.server.restore(20.0)
        self.publish(4)
        advance(self.clock, 3.0)
        assert feed.table.version == 16

    @pytest.mark.parametrize(("era", "seconds"), [(None, 0.5), (1, 4.0)])
    def test_store_that_is_never_restored_is_followed_as_before(
        self, era, seconds: float
    ) -> None:
        self.clock = Clock()
        self.calls = StoreCalls(self.clock)
        self.calls.server.era = era
        self.publish(4)
        feed = self.start_vm()
        self.publish(8)
        advance(self.clock, seconds)
        assert feed.table.version == 8
        assert feed.is_fresh()


class TestVmWithOlderConfiguration:
    """A VM that knew only the copy accepted keys that had been withdrawn."""

    start = TestConfigurationAfterRestore.start
    start_vm = TestConfigurationAfterRestore.start_vm
    publish = TestConfigurationAfterRestore.publish

    def test_older_version_of_the_copy_confirms_nothing(self) -> None:
        feed = self.start()
        read_at = feed.follower.read_at
        self.calls.server.restore(8.0)
        advance(self.clock, 1.0)
        assert feed.follower.read_at <= read_at + 1.5
        read_at = feed.follower.read_at
        advance(self.clock, 0.5)
        assert feed.follower.read_at == read_at
        self.publish(16)
        advance(self.clock, 0.5)
        assert feed.follower.read_at > read_at

    def test_started_vm_trusts_no_new_era_before_the_operator_has_written(self) -> None:
        self.start()
        self.calls.server.restore(8.0)
        feed = self.start_vm()
        assert feed.table.version == 8
        assert not feed.is_fresh()
        self.publish(16)
        advance(self.clock, 2.0)
        assert feed.table.version == 16
        assert feed.is_fresh()

    def test_peer_tells_a_started_vm_which_version_to_wait_for(self) -> None:
        self.start()
        self.calls.server.restore(8.0)
        feed = self.start_vm()
        feed.remember(16)
        self.publish(16)
        advance(self.clock, 0.3)
        assert feed.is_fresh()

    def test_started_vm_is_fresh_as_soon_as_the_era_is_known_to_be_old(self) -> None:
        self.start()
        feed = self.start_vm()
        assert not feed.is_fresh()
        # The holder of the authority has claimed it in this era.
        feed._eras.record_settled()
        advance(self.clock, 0.2)
        assert feed.is_fresh()

    def test_version_that_is_never_written_again_does_not_stop_service(self) -> None:
        feed = self.start()
        self.calls.server.restore(8.0)
        feed.remember(17)
        self.publish(16)
        advance(self.clock, 5.0)
        assert feed.is_fresh()


class TestRegisterAfterRestore:
    """A VM sent requests to servers that had left, or none to those that were back."""

    def start(self) -> FleetFeed:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.calls = StoreCalls(self.clock)
        self.write("i-1", "ready")
        self.write("i-2", "ready")
        store = build_client(self.clock, self.calls)
        feed = FleetFeed(self.clock, store, lambda server: None)
        feed.follower.start()
        advance(self.clock, 3.0)
        return feed

    def write(self, name: str, state: str) -> None:
        fields = {
            "service": "lm",
            "address": "10.0.0.9:80",
            "zone": "north",
            "state": state,
            "born": 1,
        }
        value = json.dumps(fields).encode() if state else b""
        self.calls.server.put(REGISTER_TOPIC, name, value)

    def is_usable(self, feed: FleetFeed, name: str) -> bool:
        server = feed.fleet.servers.get(name)
        return server is not None and not server.leaving

    @pytest.mark.parametrize("state", ["draining", ""])
    def test_entry_of_the_copy_does_not_bring_back_a_server_that_left(
        self, state: str
    ) -> None:
        feed = self.start()
        self.write("i-1", state)
        advance(self.clock, 1.0)
        self.calls.server.restore(2.0)
        advance(self.clock, 3.0)
        assert not self.is_usable(feed, "i-1")
        assert self.is_usable(feed, "i-2")

    def test_entries_written_again_at_lower_offsets_are_taken(self) -> None:
        feed = self.start()
        for _ in range(20):
            self.write("i-1", "ready")
        advance(self.clock, 1.0)
        self.calls.server.restore(10.0)
        self.write("i-1", "ready")
        advance(self.clock, 0.5)
        self.write("i-1", "draining")
        advance(self.clock, 1.0)
        assert not self.is_usable(feed, "i-1")

    def test_server_that_was_removed_is_used_after_its_next_entry(self) -> None:
        feed = self.start()
        self.write("i-1", "")
        advance(self.clock, 1.0)
        self.calls.server.restore(2.0)
        advance(self.clock, 1.0)
        feed.pop_changes()
        self.write("i-1", "ready")
        advance(self.clock, 1.0)
        assert self.is_usable(feed, "i-1")
        # VMs that rely on this one learn it too.
        assert [record.key for record in feed.pop_changes()] == ["i-1"]

    def test_missing_entries_are_kept_until_they_can_be_written_again(self) -> None:
        feed = self.start()
        self.calls.server.restore(10.0)
        advance(self.clock, 1.0)
        assert self.is_usable(feed, "i-1")
        advance(self.clock, 2.0)
        assert not feed.fleet.servers

    def test_server_that_says_itself_that_it_leaves_stays_so(self) -> None:
        feed = self.start()
        feed.notices.record(Departure("i-1", 1, FOREVER))
        self.calls.server.restore(2.0)
        self.write("i-1", "ready")
        advance(self.clock, 2.0)
        self.write("i-1", "ready")
        advance(self.clock, 1.0)
        assert not self.is_usable(feed, "i-1")

    def test_relayed_change_of_an_era_that_is_not_read_yet_is_ignored(self) -> None:
        feed = self.start()
        self.write("i-1", "draining")
        advance(self.clock, 1.0)
        value = self.calls.server.topics.list_records(REGISTER_TOPIC, 0)[0].value
        feed.apply_relayed_changes([StoreRecord(0, "i-1", value, era=2)])
        assert not self.is_usable(feed, "i-1")


class TestRecordsOfThisSystem:
    """A record that was accepted and then lost with the copy was not written again."""

    def list_values(self, store: TopicStore, topic: str) -> list[bytes]:
        return [record.value for record in store.list_records(topic, 0)]

    def build_members(self, store: TopicStore) -> Members:
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 7000, "1", 0.5)
        members = Members(Clock(), store, own)
        members.register()
        return members

    def test_entry_of_a_vm(self) -> None:
        store = TopicStore()
        self.build_members(store)
        written = self.list_values(store, MEMBERS_TOPIC)
        for _ in range(2):
            store.eras.observe(store.eras.era + 1)
            store.restore({})
            assert self.list_values(store, MEMBERS_TOPIC) == written

    def test_removal_of_the_entry_of_a_vm_that_stops(self) -> None:
        store = TopicStore()
        members = self.build_members(store)
        members.leave()
        store.eras.observe(1)
        store.restore({MEMBERS_TOPIC: 1})
        assert self.list_values(store, MEMBERS_TOPIC)[-1] == b""

    def test_usage_of_an_ended_process(self) -> None:
        store, copies = TopicStore(), UsageCopies()
        store.eras.observe(1)
        writer = LostUsageWriter(store, copies)
        copies.record_counts("vm-2", "b", ((5, "t", 4),), 1.0)
        for _ in range(2):
            Deferred.fromCoroutine(writer.run_cycle(9.0))
            assert len(self.list_values(store, USAGE_TOPIC)) == 1
            store.restore({})

    def test_quarantine(self) -> None:
        store, clock = TopicStore(), Clock()
        store.eras.observe(1)
        parts = CrashingParts(clock.seconds)
        for number in range(3):
            runs = [(("bad",), float(number))]
            parts.record_crash(f"engine-{number}/1", runs, number + 0.5)
            clock.advance(1.0)
        quarantines = QuarantineStore(clock, store, parts, clock.seconds)
        holder = SimpleNamespace(get_fencing_number=lambda: 1)
        for _ in range(2):
            Deferred.fromCoroutine(quarantines.write(holder))
            assert len(self.list_values(store, QUARANTINES_TOPIC)) == 1
            store.restore({})

    def test_vm_that_is_alive_stays_a_member_until_it_has_written_again(self) -> None:
        store = TopicStore()
        store.eras.observe(1)
        members = self.build_members(store)
        for vm in ("vm-2", "vm-3"):
            entry = members._own._replace(vm=vm)
            value = json.dumps(entry._asdict()).encode()
            members._apply_records((StoreRecord(1, vm, value),))
        members.record_seen("vm-2", True, 0.0)
        members._apply_snapshot(())
        assert sorted(members.entries) == ["vm-1", "vm-2"]


class TestStoreEra:
    """An answer from before a restore, or an odd header, must do no harm."""

    def send(self, headers, store=None) -> StoreClient:
        from wisteriagw.outcomes import Done

        class Client:
            async def send(self, *arguments, **options):
                reply = {"items": [], "has_more": False, "end_offset": 3}
                return Done(200, json.dumps(reply).encode(), headers=headers)

        store = store or StoreClient(Client(), ADDRESS)
        store._client = Client()
        self.failures = []
        Deferred.fromCoroutine(store.read_newest("keyed.x")).addErrback(
            self.failures.append
        )
        return store

    @pytest.mark.parametrize(
        "value", [b"", b"x", b"-1", b"1.5", b"2, 2", b" ", b"9" * 400, b"\xb2"]
    )
    def test_odd_header_names_no_era(self, value: bytes) -> None:
        store = self.send(((b"store-era", b"3"),))
        self.send(((b"store-era", value),), store)
        assert not self.failures
        assert store.eras.era == 3

    def test_conditional_append_at_an_offset_that_came_round_again_is_a_conflict(
        self,
    ) -> None:
        clock = Clock()
        calls = StoreCalls(clock)
        for value in (b"a", b"b"):
            calls.server.put("keyed.x", "k", value)
        store = build_client(clock, calls)
        pages, failures = [], []
        Deferred.fromCoroutine(store.read_newest("keyed.x")).addCallback(pages.append)
        advance(clock, 0.1)
        calls.server.restore(100.0)
        for value in (b"c", b"d"):
            calls.server.put("keyed.x", "k", value)
        append = store.append("keyed.x", [("k", b"e")], pages[0].next_position)
        Deferred.fromCoroutine(append).addErrback(failures.append)
        advance(clock, 0.1)
        assert failures[0].check(AppendConflictError)

    def test_missing_header_names_no_era(self) -> None:
        store = self.send(((b"store-era", b"3"),))
        self.send((), store)
        assert not self.failures
        assert store.eras.era == 3

    def test_late_answer_of_an_earlier_era_is_not_used(self) -> None:
        store = self.send(((b"store-era", b"3"),))
        self.send(((b"store-era", b"2"),), store)
        assert self.failures

    @pytest.mark.parametrize(
        "position", [StorePosition(0, 7), StorePosition(3, 2**31), FOREVER]
    )
    def test_position_of_a_departure_is_the_same_at_peers(self, position) -> None:
        notice = Departure("i-1", 1, position)
        assert decode_rows(encode_rows([(notice, 1.0)], 1.0), 1.0) == [(notice, 1.0)]

    def test_positions_of_a_later_era_are_greater(self) -> None:
        numbers = [
            StorePosition(era, offset).encode()
            for era in range(3)
            for offset in (0, 9, 2**32 - 1)
        ]
        assert numbers == sorted(set(numbers))
        assert numbers[1] == 9
