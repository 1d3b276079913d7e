"""Tests of usage reports whose history has gone from the store."""

from __future__ import annotations

import json
import random

import pytest
from twisted.internet.defer import Deferred

from tests.support._gateway_fixture import SETTINGS
from wisteriagw.gateway._report_ledger import KEPT_WINDOWS, ReportLedger
from wisteriagw.gateway._usage_reporter import MAX_WINDOWS_BACK, UsageReporter
from wisteriagw.gateway._usage_windows import encode_counts
from wisteriagw.outcomes import Done, MayHaveRun
from wisteriagw.platform import REPORTS_TOPIC, USAGE_TOPIC, StoreUnavailableError
from wisteriagw.standins import TopicStore

VMS = ("vm-1", "vm-2")
WINDOW_SECONDS = SETTINGS.usage_window
# After this time the counts of window 0 are due although a VM has written none.
DUE_SECONDS = 12.6


class Platform:
    """Receives the reports of all holders, and compares those of one window."""

    def __init__(self) -> None:
        self.reports: dict[int, dict[str, int]] = {}
        self.lost_answers = 0

    async def report_usage(self, window, counts, number):
        assert self.reports.setdefault(window, dict(counts)) == counts
        if self.lost_answers:
            self.lost_answers -= 1
            return MayHaveRun("lost")
        return Done(200, b"")


class Holder:
    """A process that may hold the authority."""

    def __init__(self, deployment: Deployment) -> None:
        self.number: int | None = None
        self.copies: dict[int, dict[str, dict[str, int]]] = {}
        self._reporter = UsageReporter(
            deployment.store,
            deployment.platform,
            self,
            SETTINGS,
            lambda: deployment.now,
            lambda window: self.copies.get(window, {}),
            lambda: VMS,
        )

    def get_era_seen_at(self) -> float:
        return float("-inf")

    def get_fencing_number(self) -> int | None:
        return self.number

    def run_cycle(self) -> None:
        failures: list = []
        Deferred.fromCoroutine(self._reporter.run_cycle()).addErrback(failures.append)
        for failure in failures:
            failure.trap(StoreUnavailableError)

    def count_known_windows(self) -> int:
        windows = self._reporter._windows
        return len(windows.sealed) + len(windows._open) + len(windows._writers)


class Deployment:
    """A store, the platform and the holders of the authority, one after the other."""

    def __init__(self) -> None:
        self.store = TopicStore()
        self.platform = Platform()
        self.now = 0.0
        self._number = 0

    def grant(self, holder: Holder | None = None, *others: Holder) -> Holder:
        """Give the authority to a process, by default a new one."""
        for other in others:
            other.number = None
        self._number += 1
        holder = holder or Holder(self)
        holder.number = self._number
        return holder

    def write(self, vm: str, window: int, count: int, **fields: bool) -> None:
        value = encode_counts(vm, f"process-of-{vm}", {window: {"t": count}}, **fields)
        self.store.put(USAGE_TOPIC, "", value)

    def expire(self) -> None:
        """Drop the history, as the store does with age or by compaction."""
        self.store.truncate(USAGE_TOPIC)


class TestExpiredSeals:
    """A window was reported again, with other counts, once its seal had expired."""

    def start(self) -> tuple[Deployment, Holder]:
        deployment = Deployment()
        for vm in VMS:
            deployment.write(vm, 0, 3)
        deployment.now = DUE_SECONDS
        return deployment, deployment.grant()

    def test_counts_of_a_killed_holder_do_not_open_its_windows_again(self) -> None:
        deployment, holder = self.start()
        holder.run_cycle()
        deployment.expire()
        deployment.write("vm-1", 0, 3, copy=True)
        deployment.grant(None, holder).run_cycle()
        assert deployment.platform.reports == {0: {"t": 6}}

    def test_holder_that_ended_before_its_report_fixed_the_figures(self) -> None:
        deployment, holder = self.start()
        deployment.platform.lost_answers = 1
        holder.run_cycle()
        deployment.expire()
        deployment.write("vm-1", 0, 3, copy=True)
        second = deployment.grant(None, holder)
        second.run_cycle()
        assert deployment.platform.reports == {0: {"t": 6}}

    def test_next_windows_are_reported(self) -> None:
        deployment, holder = self.start()
        holder.run_cycle()
        deployment.expire()
        deployment.write("vm-1", 0, 3, copy=True)
        for vm in VMS:
            deployment.write(vm, 1, 4)
        deployment.now += WINDOW_SECONDS
        deployment.grant(None, holder).run_cycle()
        assert deployment.platform.reports == {0: {"t": 6}, 1: {"t": 8}}

    def test_holder_that_wakes_reports_what_the_other_one_has_entered(self) -> None:
        deployment, holder = self.start()
        deployment.store.lost_replies = 1
        holder.run_cycle()
        assert deployment.platform.reports == {}
        deployment.expire()
        deployment.write("vm-1", 0, 3, copy=True)
        other = deployment.grant(None, holder)
        other.run_cycle()
        deployment.grant(holder, other).run_cycle()
        assert deployment.platform.reports == {0: {"t": 3}}

    @pytest.mark.parametrize("both", [False, True])
    def test_entry_that_arrives_late_is_no_second_one(self, both: bool) -> None:
        deployment, holder = self.start()
        append = deployment.store.append

        async def hold_entries(topic, *arguments):
            deployment.store.hold_appends = int(topic == REPORTS_TOPIC)
            return await append(topic, *arguments)

        deployment.store.append = hold_entries
        holder.run_cycle()
        deployment.store.append = append
        deployment.expire()
        deployment.write("vm-1", 0, 3, copy=True)
        other = deployment.grant(None, holder)
        if both:
            other.run_cycle()
        deployment.store.apply_held_appends()
        for _ in range(3):
            other.run_cycle()
        assert deployment.platform.reports == {0: {"t": 3 if both else 6}}

    def test_memory_does_not_grow_with_the_windows(self) -> None:
        deployment, holder = self.start()
        for window in range(1, 200):
            for vm in VMS:
                deployment.write(vm, window, 1)
            deployment.now += WINDOW_SECONDS
            holder.run_cycle()
        assert len(deployment.platform.reports) == 200
        assert holder.count_known_windows() <= 2 * MAX_WINDOWS_BACK

    @pytest.mark.parametrize("seed", range(60))
    def test_any_order_of_faults_leaves_one_report_a_window(self, seed: int) -> None:
        """Plays holders that die, freeze and return, and histories that are lost."""
        random_ = random.Random(seed)
        deployment = Deployment()
        holders = [deployment.grant()]
        for step in range(400):
            deployment.now += 0.5
            window = max(0, int(deployment.now // WINDOW_SECONDS) - 1)
            action = random_.random()
            if step % 10 == 0:
                for vm in VMS:
                    deployment.write(vm, window, random_.randrange(1, 9))
            if action < 0.05:
                deployment.expire()
            elif action < 0.12:
                old = random_.randrange(max(0, window - 7), window + 1)
                deployment.write(f"lost-{step}", old, 5, copy=True)
            elif action < 0.18:
                deployment.grant(None, *holders)
                holders.append(deployment.grant(None, *holders))
            elif action < 0.24:
                deployment.grant(random_.choice(holders), *holders)
            elif action < 0.30:
                deployment.store.lost_replies = 1
            elif action < 0.34:
                deployment.store.hold_appends = 1
            elif action < 0.40:
                deployment.store.apply_held_appends()
            elif action < 0.44:
                deployment.platform.lost_answers = 1
            for holder in holders:
                if random_.random() < 0.7:
                    holder.run_cycle()
        assert len(deployment.platform.reports) > 20


class TestReportLedger:
    """An odd entry must neither stop the reports nor count as one."""

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b"{",
            b"[" * 100_000,
            b'{"window": 1e400, "counts": {}}',
            b'{"window": 5, "counts": []}',
            b'{"window": 5, "counts": {"t": "x"}}',
            b'{"window": 90000, "counts": {"t": 1}}',
        ],
    )
    def test_odd_entry_is_left_out(self, value: bytes) -> None:
        store = TopicStore()
        store.put(REPORTS_TOPIC, "odd", value)
        entry = json.dumps({"window": 4, "counts": {"t": 2}}).encode()
        store.put(REPORTS_TOPIC, "4", entry)
        ledger = ReportLedger(store)
        Deferred.fromCoroutine(ledger.read(6))
        assert ledger.figures == {4: {"t": 2}}
        assert ledger.covers(4) and not ledger.covers(5)

    def test_store_keeps_a_bounded_number_of_entries(self) -> None:
        store = TopicStore()
        ledger = ReportLedger(store)
        Deferred.fromCoroutine(ledger.read(0))
        for window in range(30):
            Deferred.fromCoroutine(ledger.enter(window, {"t": window}))
        assert len(ledger.figures) == KEPT_WINDOWS
        other = ReportLedger(store)
        Deferred.fromCoroutine(other.read(30))
        assert other.figures == ledger.figures
