"""Tests of the usage reporter."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, fail, succeed

from tests.support import MemoryLog, VirtualClock
from wisteriagw.clients import UsageUnavailableError
from wisteriagw.follower import StreamFollower
from wisteriagw.records import UsageBatch, encode_record
from wisteriagw.reporter import Reporter
from wisteriagw.usage import USAGE_STREAM, apply_usage_record, build_empty_usage

# Windows 10 and 11 are over at 750 s, with the grace of 10 s.
START_SECONDS = 600.0
CLOSABLE_SECONDS = 750.0


class FakeLease:
    """Lease whose fencing number and unproved earlier holders a test sets."""

    def __init__(self, number: int | None) -> None:
        self.number = number
        self.unproved: tuple[Any, ...] = ()
        self.busy = False
        self.reads_left = 1_000

    def get_fencing_number(self) -> int | None:
        self.reads_left -= 1
        return self.number if self.reads_left >= 0 else None

    def list_unproved_holders(self) -> tuple[Any, ...]:
        return self.unproved


class FakeUsageClient:
    """Usage interface that records the reports it received."""

    def __init__(self) -> None:
        self.received: list[tuple[int, str, list, int]] = []
        self.lose_replies = 0

    def report(self, *report: Any) -> Deferred[None]:
        self.received.append(report)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return fail(UsageUnavailableError("reply lost"))
        return succeed(None)


class FormerHolder:
    """Former holder whose end is not proved."""

    vm = "vm-9"


class TestReporter:
    """Guards against reports that differ, or that two processes send."""

    def setup_method(self) -> None:
        self.log = MemoryLog()
        self.clock = VirtualClock(START_SECONDS)
        self.client = FakeUsageClient()
        rows = [[10, "large", 100, 0, 40, 0], [10, "small", 9, 0, 4, 1]]
        batch = UsageBatch([["vm-1", "i", 0, rows, []]])
        self.log.append(USAGE_STREAM, encode_record(batch))
        self.clock.now = CLOSABLE_SECONDS

    def build_reporter(
        self, lease: FakeLease, checks_fencing: bool = False
    ) -> Reporter:
        follower = StreamFollower(
            self.log, USAGE_STREAM, build_empty_usage(), apply_usage_record, self.clock
        )
        arguments = (lease, follower, self.log, self.client, self.clock, checks_fencing)
        return Reporter(*arguments)

    def run(self, reporter: Reporter, cycles: int = 4) -> None:
        for _ in range(cycles):
            failures: list[Any] = []
            reporter.run_cycle().addErrback(failures.append)
            assert failures == []

    def test_each_customer_is_reported_once(self) -> None:
        self.run(self.build_reporter(FakeLease(7)))
        assert self.client.received == [
            (10, "large", [["large", 10, 100, 0, 40, 0]], 7),
            (10, "small", [["small", 10, 9, 0, 4, 1]], 7),
        ]

    def test_successor_repeats_a_report_whose_reply_was_lost(self) -> None:
        self.client.lose_replies = 1
        self.run(self.build_reporter(FakeLease(7)), cycles=3)
        late = UsageBatch([["vm-2", "i", 0, [[10, "large", 5, 0, 5, 0]], []]])
        self.log.append(USAGE_STREAM, encode_record(late))
        self.run(self.build_reporter(FakeLease(8)))
        large = [report[2] for report in self.client.received if report[1] == "large"]
        assert large == [[["large", 10, 100, 0, 40, 0]]] * 2

    def test_nothing_is_sent_before_the_end_of_the_predecessor_is_proved(self) -> None:
        lease = FakeLease(7)
        lease.unproved = (FormerHolder(),)
        reporter = self.build_reporter(lease)
        self.run(reporter)
        assert self.client.received == []
        lease.unproved = ()
        self.run(reporter)
        assert len(self.client.received) == 2

    def test_interface_that_checks_fencing_needs_no_proof(self) -> None:
        lease = FakeLease(7)
        lease.unproved = (FormerHolder(),)
        self.run(self.build_reporter(lease, checks_fencing=True))
        assert len(self.client.received) == 2

    def test_lease_that_lapses_between_two_reports_stops_the_cycle(self) -> None:
        self.run(self.build_reporter(FakeLease(7)), cycles=2)
        lease = FakeLease(7)
        lease.reads_left = 2
        self.run(self.build_reporter(lease), cycles=1)
        assert len(self.client.received) == 1

    def test_process_without_the_authority_does_nothing(self) -> None:
        appends = self.log.appends
        self.run(self.build_reporter(FakeLease(None)))
        assert (self.client.received, self.log.appends) == ([], appends)
