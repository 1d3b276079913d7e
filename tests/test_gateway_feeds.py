"""Tests of what a gateway learns from the store and its peers."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.support._gateway_fixture import SETTINGS
from wisteriagw.clocks import SteadyWallClock
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._event_splitter import EventSplitter
from wisteriagw.gateway._fleet_feed import RETURN_SECONDS, FleetFeed
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import RELAY_PACE_SECONDS, Members
from wisteriagw.gateway._retry_budgets import RetryBudgets
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway._usage_reporter import UsageReporter
from wisteriagw.gateway._usage_windows import UsageWindows, encode_counts, encode_seal
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.platform import (
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REGISTER_TOPIC,
    USAGE_TOPIC,
    StoreRecord,
)
from wisteriagw.standins import TopicStore

POLL_SECONDS = 0.1


class PollingStore:
    """The store stand-in whose waiting reads take some virtual time."""

    def __init__(self, clock: Clock) -> None:
        self.topics = TopicStore()
        self._clock = clock

    async def read(self, topic, start, wait=0.0):
        from twisted.internet.task import deferLater

        await deferLater(self._clock, POLL_SECONDS)
        return await self.topics.read(topic, start)

    async def read_newest(self, topic):
        return await self.topics.read_newest(topic)

    async def append(self, *arguments):
        return await self.topics.append(*arguments)


def advance(clock: Clock, seconds: float) -> None:
    """Let virtual time pass in small steps."""
    for _ in range(round(seconds / POLL_SECONDS)):
        clock.advance(POLL_SECONDS)


def build_configuration(version: int, key: str = "k1") -> bytes:
    """Return a configuration with one key."""
    fields = {
        "version": version,
        "routes": [],
        "services": [],
        "tenants": [{"name": "t-1", "api_keys": [key]}],
    }
    return json.dumps(fields).encode()


class TestConfigurationFeed:
    """A configuration must never go back, and its age must not be understated."""

    def start(self):
        self.clock = Clock()
        self.store = PollingStore(self.clock)
        self.changes = []
        feed = ConfigurationFeed(self.clock, self.store, 5.0, self.changes.append)
        feed.follower.start()
        return feed

    def put(self, data: bytes) -> None:
        self.store.topics.put(CONFIGURATION_TOPIC, CONFIGURATION_KEY, data)

    def test_newer_version_is_applied(self) -> None:
        feed = self.start()
        assert not feed.is_fresh()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        assert feed.table.version == 3
        assert feed.is_fresh()

    @pytest.mark.parametrize("data", [build_configuration(2), b"{", b""])
    def test_older_or_unreadable_version_changes_nothing(self, data: bytes) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.put(data)
        advance(self.clock, 0.5)
        assert feed.table.version == 3
        assert len(self.changes) == 1

    def test_outage_makes_it_stale_and_its_end_fresh(self) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.store.topics.down = True
        advance(self.clock, 4.5)
        assert not feed.is_fresh()
        self.store.topics.down = False
        advance(self.clock, 1.0)
        assert feed.is_fresh()

    def test_change_in_a_lost_history_is_found(self) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.put(build_configuration(4, "k2"))
        self.store.topics.forget(CONFIGURATION_TOPIC)
        advance(self.clock, 0.5)
        assert "k2" in feed.table.customers

    def test_read_that_ends_before_the_tip_confirms_nothing(self) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.store.topics.page_records = 1
        for version in range(4, 40):
            self.put(build_configuration(version))
        before = feed.follower.read_at
        advance(self.clock, 1.0)
        assert 3 < feed.table.version < 39
        assert feed.follower.read_at == before
        advance(self.clock, 5.0)
        assert feed.table.version == 39
        assert feed.is_fresh()

    def test_age_counts_from_the_start_of_the_read(self) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        assert feed.get_age() >= POLL_SECONDS - 1e-9


class TestFleetFeed:
    """Leaving servers go at once; lapsed ones get the time that the platform states."""

    def start(self) -> FleetFeed:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = PollingStore(self.clock)
        self.lost = []
        feed = FleetFeed(self.clock, self.store, self.lost.append)
        feed.follower.start()
        return feed

    def put(self, state: str = "ready", born: int = 1, name: str = "i-1") -> None:
        fields = {
            "service": "lm",
            "address": "10.0.0.1:80",
            "zone": "north",
            "slots": 4,
            "state": state,
            "born": born,
        }
        self.store.topics.put(REGISTER_TOPIC, name, json.dumps(fields).encode())

    def test_leaving_server_takes_no_new_work(self) -> None:
        feed = self.start()
        self.put()
        advance(self.clock, 1.0)
        assert len(feed.fleet.list_service("lm")) == 1
        self.put("draining")
        advance(self.clock, 1.0)
        assert feed.fleet.list_service("lm") == []

    def test_removed_entry_is_gone_at_once(self) -> None:
        feed = self.start()
        self.put()
        advance(self.clock, 1.0)
        self.store.topics.put(REGISTER_TOPIC, "i-1", b"")
        advance(self.clock, 1.0)
        assert feed.fleet.servers == {}
        assert [server.name for server in self.lost] == ["i-1"]

    def test_foreign_record_leaves_the_others(self) -> None:
        feed = self.start()
        self.put()
        self.store.topics.put(REGISTER_TOPIC, "i-2", b"\xff\x00")
        advance(self.clock, 1.0)
        assert list(feed.fleet.servers) == ["i-1"]

    def test_late_report_of_an_earlier_start_is_ignored(self) -> None:
        feed = self.start()
        self.put(born=9)
        self.put("draining", born=4)
        advance(self.clock, 1.0)
        assert not feed.fleet.servers["i-1"].leaving

    def test_new_start_under_the_same_name_is_another_server(self) -> None:
        feed = self.start()
        self.put(born=4)
        advance(self.clock, 1.0)
        self.put(born=9)
        advance(self.clock, 1.0)
        assert [server.born for server in self.lost] == [4]
        assert feed.fleet.servers["i-1"].born == 9

    def lapse(self) -> FleetFeed:
        feed = self.start()
        self.put()
        advance(self.clock, 1.0)
        self.store.topics.down = True
        advance(self.clock, 2.0)
        self.store.topics.put(REGISTER_TOPIC, "i-1", b"")
        self.store.topics.down = False
        advance(self.clock, 1.0)
        return feed

    def test_lapsed_entry_is_kept_until_it_can_be_back(self) -> None:
        feed = self.lapse()
        assert "i-1" in feed.fleet.servers
        self.put()
        advance(self.clock, RETURN_SECONDS + 2.0)
        assert "i-1" in feed.fleet.servers

    def test_missing_entry_is_gone_before_a_leaving_server_must_be_left(self) -> None:
        feed = self.lapse()
        regained_at = feed.follower.regained_at
        advance(self.clock, regained_at + 1.8 - self.clock.seconds())
        assert self.clock.seconds() - regained_at < 2.0
        assert feed.fleet.servers == {}

    def test_lapsed_entry_that_stays_away_is_gone(self) -> None:
        feed = self.lapse()
        advance(self.clock, RETURN_SECONDS + 1.0)
        assert feed.fleet.servers == {}


class TestMembers:
    """Callers must not be sent to VMs that are silent, leaving or gone."""

    def build(self):
        self.clock = Clock()
        self.store = PollingStore(self.clock)
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 7000, "a")
        members = self.members = Members(self.clock, self.store, own)
        members.register()
        other = Member("vm-2", "north", "10.0.0.2:80", "10.0.0.2", 7000, "b")
        self.put("vm-2", json.dumps(other._asdict()).encode())
        advance(self.clock, 2 * RELAY_PACE_SECONDS)
        return members

    def put(self, vm: str, value: bytes) -> None:
        self.store.topics.put("keyed.members", vm, value)

    def hear(self, ready: bool = True) -> None:
        self.members.note_heard("vm-2", ready, self.clock.seconds())

    def list_up(self, members: Members) -> list[str]:
        return [member.vm for member in members.list_up(self.clock.seconds())]

    def test_registered_vm_is_up_once_it_is_heard(self) -> None:
        members = self.build()
        assert self.list_up(members) == []
        self.hear()
        assert self.list_up(members) == ["vm-2"]

    def test_older_word_of_a_vm_does_not_replace_a_newer_one(self) -> None:
        members = self.build()
        self.hear()
        members.note_heard("vm-2", False, self.clock.seconds() - 0.4)
        assert self.list_up(members) == ["vm-2"]

    def test_silent_vm_is_left_out(self) -> None:
        members = self.build()
        self.hear()
        advance(self.clock, 1.5)
        assert self.list_up(members) == []

    def test_vm_that_is_not_ready_is_left_out(self) -> None:
        members = self.build()
        self.hear(ready=False)
        assert self.list_up(members) == []

    def test_vm_that_left_is_left_out(self) -> None:
        members = self.build()
        self.hear()
        self.put("vm-2", b"")
        advance(self.clock, 2 * RELAY_PACE_SECONDS)
        self.hear()
        assert self.list_up(members) == []

    def test_unreadable_entry_is_passed_over(self) -> None:
        members = self.build()
        self.put("vm-3", b"{")
        self.put("vm-4", b'{"vm": "vm-4"}')
        advance(self.clock, 2 * RELAY_PACE_SECONDS)
        assert sorted(members.entries) == ["vm-1", "vm-2"]

    def test_starts_of_many_vms_cost_one_read_in_a_pace(self) -> None:
        members = self.build()
        before = self.store.topics.calls
        for number in range(20):
            other = members.entries["vm-2"]._replace(vm=f"vm-{10 + number}")
            self.put(other.vm, json.dumps(other._asdict()).encode())
            advance(self.clock, 0.1)
        advance(self.clock, 2 * RELAY_PACE_SECONDS)
        assert len(members.entries) == 22
        assert self.store.topics.calls - before <= 5

    def test_own_entry_is_written_after_an_outage(self) -> None:
        self.clock = Clock()
        self.store = PollingStore(self.clock)
        self.store.topics.down = True
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 7000, "a")
        members = Members(self.clock, self.store, own)
        members.register()
        advance(self.clock, 1.0)
        self.store.topics.down = False
        advance(self.clock, 1.0)
        results = []
        newest = self.store.read_newest("keyed.members")
        Deferred.fromCoroutine(newest).addCallback(results.append)
        assert [record.key for record in results[0].records] == ["vm-1"]


class TestEventSplitter:
    """An event must be passed on whole, once, and in order."""

    def test_any_cut_gives_the_same_events(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
        for size in range(1, len(data)):
            splitter = EventSplitter()
            parts = [data[i : i + size] for i in range(0, len(data), size)]
            assert (
                b"".join(map(splitter.feed, parts)) + splitter.take_incomplete() == data
            )
            assert splitter.last_id == 3

    def test_known_events_are_dropped(self) -> None:
        splitter = EventSplitter(2)
        data = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
        assert splitter.feed(data) == b"id: 3\ndata: c\n\n"

    def test_broken_off_event_can_be_dropped(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\nda") == b""
        splitter.take_incomplete()
        assert splitter.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"


class TestRetryBudgets:
    """All VMs together must stay below what the platform allows."""

    @pytest.mark.parametrize("vms", [1, 7, 84])
    def test_window_of_all_vms(self, vms: int) -> None:
        budgets = RetryBudgets(SETTINGS)
        budgets.set_vm_count(vms)
        sent = 0
        for _ in range(100):
            now = _ * 0.1
            budgets.count_request("lm", now)
            while budgets.get("lm", now).retries >= 1:
                budgets.consume("lm", now)
                sent += 1
        allowed = SETTINGS.retry_ratio * 100 * vms + SETTINGS.retry_allowance
        assert sent * vms <= max(allowed, vms * 21)

    def test_services_have_budgets_of_their_own(self) -> None:
        budgets = RetryBudgets(SETTINGS)
        while budgets.get("lm", 0.0).retries >= 1:
            budgets.consume("lm", 0.0)
        assert budgets.get("desk", 0.0).retries >= 1


class TestUsage:
    """Every run counts once, whatever is lost, and figures never change."""

    def records(self, *values: bytes) -> tuple[StoreRecord, ...]:
        return tuple(StoreRecord(i, "", value) for i, value in enumerate(values))

    def test_repeated_record_counts_once(self) -> None:
        windows = UsageWindows()
        record = encode_counts("vm-1", "a", {5: {"t": 3}})
        windows.apply_records(self.records(record, record))
        assert windows.sum_counts(5, {}) == {"t": 3}

    def test_copy_of_a_killed_process_counts(self) -> None:
        windows = UsageWindows()
        windows.apply_records(
            self.records(encode_counts("vm-1", "a", {5: {"t": 3, "u": 1}}))
        )
        copies = UsageCopies()
        copies.take("vm-1", "a", ((5, "t", 2),), 1.0)
        copies.take("vm-2", "b", ((5, "t", 4), (6, "t", 9)), 1.0)
        assert windows.sum_counts(5, copies.get(5)) == {"t": 7, "u": 1}

    def test_sealed_window_does_not_change(self) -> None:
        windows = UsageWindows()
        windows.apply_records(
            self.records(
                encode_counts("vm-1", "a", {5: {"t": 3}}),
                encode_seal(5, {"t": 3}),
                encode_counts("vm-2", "b", {5: {"t": 4}}),
                encode_seal(5, {"t": 7}),
            )
        )
        assert windows.sealed == {5: {"t": 3}}

    def test_window_without_requests_is_reported_too(self) -> None:
        windows = UsageWindows()
        windows.apply_records(self.records(encode_counts("vm-1", "a", {5: {}, 7: {}})))
        assert windows.list_unsealed(7) == [5, 6, 7]
        assert windows.is_complete(5, ["vm-1"])
        assert not windows.is_complete(5, ["vm-1", "vm-2"])

    @pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"windows": 3}', b"\xff"])
    def test_unreadable_record_is_passed_over(self, value: bytes) -> None:
        windows = UsageWindows()
        windows.apply_records(self.records(value, encode_seal(5, {})))
        assert windows.sealed == {5: {}}

    def test_counts_are_kept_until_they_are_written(self) -> None:
        clock = Clock()
        counter = UsageCounter(5.0, clock.seconds)
        counter.count("t")
        clock.advance(5.0)
        assert counter.list_unwritten(1) == {0: {"t": 1}}
        assert counter.list_unwritten(1) == {0: {"t": 1}}
        counter.record_written(1)
        assert counter.list_unwritten(1) == {}


class FakeAuthority:
    """Holds the authority or not."""

    number: int | None = 1

    def get_fencing_number(self) -> int | None:
        return self.number


class FakeDuties:
    """Keeps reports and gives outcomes."""

    def __init__(self) -> None:
        self.reports = []
        self.outcomes = []

    async def report_usage(self, window, counts, number):
        self.reports.append((window, counts))
        return self.outcomes.pop(0) if self.outcomes else Done(200, b"")


class TestUsageReporter:
    """Two reports of one window must never differ."""

    def build(self, store: TopicStore, copies=None) -> UsageReporter:
        self.duties = FakeDuties()
        self.authority = FakeAuthority()
        return UsageReporter(
            store,
            self.duties,
            self.authority,
            SETTINGS,
            lambda: self.now,
            lambda window: copies or {},
            lambda: ["vm-1", "vm-2"],
        )

    def run_turn(self, reporter: UsageReporter) -> None:
        errors = []
        Deferred.fromCoroutine(reporter.run_turn()).addErrback(errors.append)
        assert errors == []

    def test_window_waits_for_all_vms_and_then_for_the_latest_time(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "a", {0: {"t": 3}}))
        self.now = 7.0
        reporter = self.build(store)
        self.run_turn(reporter)
        assert self.duties.reports == []
        self.now = 12.6
        self.run_turn(reporter)
        assert self.duties.reports[0] == (0, {"t": 3})

    def test_lost_answer_is_repeated_with_the_same_figures(self) -> None:
        store = TopicStore()
        for vm in ("vm-1", "vm-2"):
            store.put(USAGE_TOPIC, "", encode_counts(vm, vm, {0: {"t": 3}}))
        self.now = 7.0
        reporter = self.build(store)
        self.duties.outcomes = [MayHaveRun("lost")]
        self.run_turn(reporter)
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "c", {0: {"t": 9}}))
        self.run_turn(reporter)
        assert self.duties.reports == [(0, {"t": 6}), (0, {"t": 6})]

    def test_new_holder_reports_what_was_sealed(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "a", {0: {"t": 3}}))
        store.put(USAGE_TOPIC, "", encode_seal(0, {"t": 2}))
        self.now = 7.0
        self.run_turn(self.build(store, {"b": {"t": 50}}))
        assert self.duties.reports == [(0, {"t": 2})]

    def test_without_the_authority_nothing_is_sent(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_seal(0, {"t": 2}))
        self.now = 7.0
        reporter = self.build(store)
        self.authority.number = None
        self.run_turn(reporter)
        assert self.duties.reports == []


class TestSteadyWallClock:
    """A jump of the time of day must not move requests to another window."""

    def test_jump_and_return_are_not_followed(self) -> None:
        wall, boot = 1_000.0, 10.0
        clock = SteadyWallClock(lambda: wall, lambda: boot)
        for step in range(20):
            boot += 1.0
            wall = 1_000.0 + boot - 10.0 + (2.4 if 5 < step < 12 else 0.0)
            assert clock.read() == pytest.approx(1_000.0 + boot - 10.0, abs=0.01)

    def test_correction_is_taken_in_the_end(self) -> None:
        wall, boot = 1_000.0, 10.0
        clock = SteadyWallClock(lambda: wall, lambda: boot)
        for _ in range(80):
            boot += 1.0
            wall = 1_005.0 + boot - 10.0
            clock.read()
        assert clock.read() == pytest.approx(wall, abs=0.01)
