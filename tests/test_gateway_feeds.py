"""Tests of the state that a gateway receives from the store and its peers."""

from __future__ import annotations

import json

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from tests.support._gateway_fixture import SETTINGS
from wisteriagw.clocks import SteadyWallClock
from wisteriagw.gateway._configuration_feed import ConfigurationFeed
from wisteriagw.gateway._event_splitter import EventSplitter
from wisteriagw.gateway._fleet_feed import REREGISTRATION_SECONDS, FleetFeed
from wisteriagw.gateway._member import Member
from wisteriagw.gateway._members import RELAY_READ_INTERVAL_SECONDS, Members
from wisteriagw.gateway._retry_budgets import RetryBudgets
from wisteriagw.gateway._usage_copies import UsageCopies
from wisteriagw.gateway._usage_counter import UsageCounter
from wisteriagw.gateway._usage_reporter import UsageReporter
from wisteriagw.gateway._usage_windows import UsageWindows, encode_counts, encode_seal
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.platform import (
    CALL_TIMEOUT_SECONDS,
    CONFIGURATION_KEY,
    CONFIGURATION_TOPIC,
    REGISTER_TOPIC,
    USAGE_TOPIC,
    StoreRecord,
    StoreUnavailableError,
)
from wisteriagw.standins import TopicStore

POLL_SECONDS = 0.1
# Bounds of the platform: the store counts as available for this long after an outage,
# and a server that left then may receive no request after the second one.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0


class PollingStore:
    """In-memory store whose long polls take some virtual time."""

    def __init__(self, clock: Clock) -> None:
        self.topics = TopicStore()
        self.eras = self.topics.eras
        # Seconds that a read takes besides its wait; None for reads that do not wait.
        self.latency: float | None = None
        self._clock = clock

    async def read(self, topic, start, wait=0.0):
        from twisted.internet.task import deferLater

        seconds = POLL_SECONDS if self.latency is None else wait + self.latency
        await deferLater(self._clock, seconds)
        return await self.topics.read(topic, start)

    async def read_newest(self, topic):
        return await self.topics.read_newest(topic)

    async def append(self, *arguments):
        return await self.topics.append(*arguments)


class SilentStore(PollingStore):
    """Store that answers a read with its first record, or is silent for a while."""

    silent = False

    async def read(self, topic, start, wait=0.0):
        from twisted.internet.task import deferLater

        lost = self.silent
        for _ in range(round((wait + CALL_TIMEOUT_SECONDS) / POLL_SECONDS)):
            await deferLater(self._clock, POLL_SECONDS)
            lost = lost or self.silent
            wait -= POLL_SECONDS
            page = await self.topics.read(topic, start)
            if not lost and (page.records or wait <= 0):
                return page
        raise StoreUnavailableError("no response", may_have_run=True)


def advance(clock: Clock, seconds: float) -> None:
    """Advance the virtual time in small steps."""
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
    """A configuration version must not decrease, nor its age be understated."""

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

    def test_configuration_that_does_not_change_stays_fresh(self) -> None:
        """A VM whose reads no relay confirms refused requests after each long poll."""
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.store.latency = 0.3
        for _ in range(1_000):
            self.clock.advance(0.01)
            assert feed.is_fresh(), feed.get_age()

    def test_change_in_deleted_records_is_found(self) -> None:
        feed = self.start()
        self.put(build_configuration(3))
        advance(self.clock, 0.5)
        self.put(build_configuration(4, "k2"))
        self.store.topics.truncate(CONFIGURATION_TOPIC)
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
    """Leaving servers are removed at once, expired ones after the platform's delay."""

    def start(self, kind: type[PollingStore] = PollingStore) -> FleetFeed:
        self.clock = Clock()
        self.clock.advance(100.0)
        self.store = kind(self.clock)
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

    def test_removed_entry_is_dropped_at_once(self) -> None:
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

    def test_late_report_of_an_earlier_process_is_ignored(self) -> None:
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

    def expire(self) -> FleetFeed:
        feed = self.start()
        self.put()
        advance(self.clock, 1.0)
        self.store.topics.down = True
        advance(self.clock, 2.0)
        self.store.topics.put(REGISTER_TOPIC, "i-1", b"")
        self.store.topics.down = False
        advance(self.clock, 1.0)
        return feed

    def test_expired_entry_is_kept_until_it_can_be_registered_again(self) -> None:
        feed = self.expire()
        assert "i-1" in feed.fleet.servers
        self.put()
        advance(self.clock, REREGISTRATION_SECONDS + 2.0)
        assert "i-1" in feed.fleet.servers

    def test_missing_entry_is_dropped_in_time_for_a_leaving_server(
        self,
    ) -> None:
        feed = self.expire()
        recovered_at = feed.follower.recovered_at
        advance(self.clock, recovered_at + 1.8 - self.clock.seconds())
        assert self.clock.seconds() - recovered_at < 2.0
        assert feed.fleet.servers == {}

    def test_server_that_left_while_the_store_refused_this_vm_gets_no_work(
        self,
    ) -> None:
        """Its removal counts from the store, which served all other VMs."""
        feed = self.start()
        other = FleetFeed(self.clock, self.store, self.lost.append)
        self.put()
        advance(self.clock, 1.0)
        self.store.topics.down = True
        advance(self.clock, 5.0)
        self.store.topics.put(REGISTER_TOPIC, "i-1", b"")
        removed_at = self.clock.seconds()
        self.tell_departures(other, feed)
        advance(self.clock, 0.9)
        self.store.topics.down = False
        advance(self.clock, removed_at + 2.0 - self.clock.seconds())
        assert feed.fleet.list_service("lm") == []

    def tell_departures(self, other: FleetFeed, feed: FleetFeed) -> None:
        """Let another VM read the register, and pass on the notices that result."""
        now = self.clock.seconds()
        records = self.store.topics.list_records(REGISTER_TOPIC, 0)
        other.apply_records(records)
        feed.notices.apply_reports(other.notices.reports.pop(now), now)

    @pytest.mark.parametrize("silent_seconds", [0.4, 1.0, 2.5, 6.0, 9.5])
    def test_server_that_left_after_a_lost_read_gets_no_work(
        self, silent_seconds: float
    ) -> None:
        """A read sent during the outage delayed the removal past the bound."""
        for calm_seconds in (1.0, 1.9, 2.8, 4.5, 5.7):
            feed = self.start(SilentStore)
            self.put()
            advance(self.clock, calm_seconds)
            self.store.silent = True
            advance(self.clock, silent_seconds)
            self.store.silent = False
            advance(self.clock, CONTACT_SECONDS)
            assert len(feed.fleet.list_service("lm")) == 1
            self.store.topics.put(REGISTER_TOPIC, "i-1", b"")
            advance(self.clock, DRAIN_SECONDS)
            assert feed.fleet.list_service("lm") == []

    def test_expired_entry_that_stays_missing_is_dropped(self) -> None:
        feed = self.expire()
        advance(self.clock, REREGISTRATION_SECONDS + 1.0)
        assert feed.fleet.servers == {}


class TestMembers:
    """Callers must not be sent to VMs that are unresponsive, leaving or removed."""

    def build(self):
        self.clock = Clock()
        self.store = PollingStore(self.clock)
        own = Member("vm-1", "north", "10.0.0.1:80", "10.0.0.1", 7000, "a")
        members = self.members = Members(self.clock, self.store, own)
        members.register()
        other = Member("vm-2", "north", "10.0.0.2:80", "10.0.0.2", 7000, "b")
        self.put("vm-2", json.dumps(other._asdict()).encode())
        advance(self.clock, 2 * RELAY_READ_INTERVAL_SECONDS)
        return members

    def put(self, vm: str, value: bytes) -> None:
        self.store.topics.put("keyed.members", vm, value)

    def see(self, ready: bool = True) -> None:
        self.members.record_seen("vm-2", ready, self.clock.seconds())

    def list_ready(self, members: Members) -> list[str]:
        return [member.vm for member in members.list_ready(self.clock.seconds())]

    def test_registered_vm_is_ready_once_it_is_seen(self) -> None:
        members = self.build()
        assert self.list_ready(members) == []
        self.see()
        assert self.list_ready(members) == ["vm-2"]

    def test_older_report_of_a_vm_does_not_replace_a_newer_one(self) -> None:
        members = self.build()
        self.see()
        members.record_seen("vm-2", False, self.clock.seconds() - 0.4)
        assert self.list_ready(members) == ["vm-2"]

    def test_unresponsive_vm_is_left_out(self) -> None:
        members = self.build()
        self.see()
        advance(self.clock, 1.5)
        assert self.list_ready(members) == []

    def test_vm_that_is_not_ready_is_left_out(self) -> None:
        members = self.build()
        self.see(ready=False)
        assert self.list_ready(members) == []

    def test_vm_that_left_is_left_out(self) -> None:
        members = self.build()
        self.see()
        self.put("vm-2", b"")
        advance(self.clock, 2 * RELAY_READ_INTERVAL_SECONDS)
        self.see()
        assert self.list_ready(members) == []

    def test_unreadable_entry_is_ignored(self) -> None:
        members = self.build()
        self.put("vm-3", b"{")
        self.put("vm-4", b'{"vm": "vm-4"}')
        advance(self.clock, 2 * RELAY_READ_INTERVAL_SECONDS)
        assert sorted(members.entries) == ["vm-1", "vm-2"]

    def test_starts_of_many_vms_cost_one_read_per_interval(self) -> None:
        members = self.build()
        before = self.store.topics.calls
        for number in range(20):
            other = members.entries["vm-2"]._replace(vm=f"vm-{10 + number}")
            self.put(other.vm, json.dumps(other._asdict()).encode())
            advance(self.clock, 0.1)
        advance(self.clock, 2 * RELAY_READ_INTERVAL_SECONDS)
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
    """An event must be forwarded whole, once and in order."""

    def test_any_cut_gives_the_same_events(self) -> None:
        data = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"
        for size in range(1, len(data)):
            splitter = EventSplitter()
            parts = [data[i : i + size] for i in range(0, len(data), size)]
            assert (
                b"".join(map(splitter.feed, parts)) + splitter.pop_incomplete() == data
            )
            assert splitter.last_id == 3

    def test_known_events_are_dropped(self) -> None:
        splitter = EventSplitter(2)
        data = b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n"
        assert splitter.feed(data) == b"id: 3\ndata: c\n\n"

    def test_incomplete_event_can_be_dropped(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\nda") == b""
        splitter.pop_incomplete()
        assert splitter.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"


class TestRetryBudgets:
    """All VMs together must stay within the retry limit of the platform."""

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

    def test_unused_retries_of_a_window_serve_a_burst(self) -> None:
        """Load: after calm seconds an engine is lost with all its open streams."""
        budgets = RetryBudgets(SETTINGS)
        budgets.set_vm_count(6)
        for number in range(90):
            budgets.count_request("lm", number * 0.1)
        sent = 0
        while budgets.get("lm", 9.0).retries >= 1:
            budgets.consume("lm", 9.0)
            sent += 1
        assert sent >= 0.5 * (SETTINGS.retry_ratio * 90 + SETTINGS.retry_allowance / 6)
        assert budgets.get("lm", 18.9).retries < 1
        assert budgets.get("lm", 19.1).retries >= 1

    def test_services_have_budgets_of_their_own(self) -> None:
        budgets = RetryBudgets(SETTINGS)
        while budgets.get("lm", 0.0).retries >= 1:
            budgets.consume("lm", 0.0)
        assert budgets.get("desk", 0.0).retries >= 1


class TestUsage:
    """Every run counts once despite losses, and reported counts never change."""

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
        copies.record_counts("vm-1", "a", ((5, "t", 2),), 1.0)
        copies.record_counts("vm-2", "b", ((5, "t", 4), (6, "t", 9)), 1.0)
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
    def test_unreadable_record_is_ignored(self, value: bytes) -> None:
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
    """Authority whose fencing number is set by the test."""

    number: int | None = 1
    era_seen_at = float("-inf")

    def get_era_seen_at(self) -> float:
        return self.era_seen_at

    def get_fencing_number(self) -> int | None:
        return self.number


class FakeDuties:
    """Records reports and returns prepared outcomes."""

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

    def run_cycle(self, reporter: UsageReporter) -> None:
        errors = []
        Deferred.fromCoroutine(reporter.run_cycle()).addErrback(errors.append)
        assert errors == []

    def test_window_waits_for_all_vms_and_then_for_the_latest_time(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "a", {0: {"t": 3}}))
        self.now = 7.0
        reporter = self.build(store)
        self.run_cycle(reporter)
        assert self.duties.reports == []
        self.now = 12.6
        self.run_cycle(reporter)
        assert self.duties.reports[0] == (0, {"t": 3})

    def test_report_without_an_answer_is_repeated_with_the_same_counts(self) -> None:
        store = TopicStore()
        for vm in ("vm-1", "vm-2"):
            store.put(USAGE_TOPIC, "", encode_counts(vm, vm, {0: {"t": 3}}))
        self.now = 7.0
        reporter = self.build(store)
        self.duties.outcomes = [MayHaveRun("lost")]
        self.run_cycle(reporter)
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "c", {0: {"t": 9}}))
        self.run_cycle(reporter)
        assert self.duties.reports == [(0, {"t": 6}), (0, {"t": 6})]

    def test_new_holder_reports_what_was_sealed(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_counts("vm-1", "a", {0: {"t": 3}}))
        store.put(USAGE_TOPIC, "", encode_seal(0, {"t": 2}))
        self.now = 7.0
        self.run_cycle(self.build(store, {"b": {"t": 50}}))
        assert self.duties.reports == [(0, {"t": 2})]

    def test_window_whose_seal_was_lost_is_not_reported_with_other_counts(self) -> None:
        store = TopicStore()
        for vm in ("vm-1", "vm-2"):
            store.put(USAGE_TOPIC, "", encode_counts(vm, vm, {0: {"t": 3}}))
        self.now = 7.0
        self.run_cycle(self.build(store))
        assert self.duties.reports == [(0, {"t": 6})]
        store.restore({USAGE_TOPIC: 1})
        reporter = self.build(store)
        self.authority.era_seen_at = 9.0
        for vm in ("vm-1", "vm-2"):
            store.put(USAGE_TOPIC, "", encode_counts(vm, vm, {1: {"t": 5}}))
        self.now = 18.0
        self.run_cycle(reporter)
        # The next window ended after the new era had begun.
        assert self.duties.reports == [(1, {"t": 10})]

    def test_holder_that_sealed_a_window_repeats_its_counts_after_a_restore(
        self,
    ) -> None:
        store = TopicStore()
        for vm in ("vm-1", "vm-2"):
            store.put(USAGE_TOPIC, "", encode_counts(vm, vm, {0: {"t": 3}}))
        self.now = 7.0
        reporter = self.build(store)
        self.duties.outcomes = [MayHaveRun("lost")]
        self.run_cycle(reporter)
        store.restore({USAGE_TOPIC: 1})
        self.authority.era_seen_at = 9.0
        self.run_cycle(reporter)
        assert self.duties.reports == [(0, {"t": 6}), (0, {"t": 6})]

    def test_without_the_authority_nothing_is_sent(self) -> None:
        store = TopicStore()
        store.put(USAGE_TOPIC, "", encode_seal(0, {"t": 2}))
        self.now = 7.0
        reporter = self.build(store)
        self.authority.number = None
        self.run_cycle(reporter)
        assert self.duties.reports == []


class TestSteadyWallClock:
    """A jump of the wall clock must not move requests to another window."""

    def test_temporary_jump_is_not_followed(self) -> None:
        wall, boot = 1_000.0, 10.0
        clock = SteadyWallClock(lambda: wall, lambda: boot)
        for step in range(20):
            boot += 1.0
            wall = 1_000.0 + boot - 10.0 + (2.4 if 5 < step < 12 else 0.0)
            assert clock.read() == pytest.approx(1_000.0 + boot - 10.0, abs=0.01)

    def test_lasting_correction_is_applied(self) -> None:
        wall, boot = 1_000.0, 10.0
        clock = SteadyWallClock(lambda: wall, lambda: boot)
        for _ in range(80):
            boot += 1.0
            wall = 1_005.0 + boot - 10.0
            clock.read()
        assert clock.read() == pytest.approx(wall, abs=0.01)
