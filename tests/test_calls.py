"""Tests of calls that run at most once."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from tests.support import HeldLog, MemoryLog, VirtualClock
from wisteriagw.calls import (
    KEY_VALID_SECONDS,
    AtMostOnceExecutor,
    ClaimConflict,
    ClaimLost,
    ClaimUnavailable,
    LocalBatcher,
    build_claim,
)
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun

PROCESSES = 3
# A claimant may send up to 30 s after its claim; the wall clocks below differ by 20 s.
MIN_SECONDS_BETWEEN_RUNS = KEY_VALID_SECONDS - 30 - 20


class Process:
    """Entry process with its own timers over a shared log."""

    def __init__(self, log: Any, clock: VirtualClock, skew: float = 0.0) -> None:
        self.timers = Clock()
        self.clock = clock
        batcher = LocalBatcher(
            "vm", log, self.timers, clock, lambda: clock() + 1e9 + skew
        )
        self.executor = AtMostOnceExecutor(batcher, clock)

    def call(self, key: str, body: bytes, send: Any) -> list[Any]:
        """Start a call; its result appears in the returned list."""
        results: list[Any] = []
        claim = build_claim("market", key, body, "vm")
        self.executor.run(claim, send).addCallback(results.append)
        return results

    def run_timers(self) -> None:
        """Run the timers that are due by the shared clock."""
        behind = self.clock() - self.timers.seconds()
        self.timers.advance(max(0.0, behind))


def answer(body: bytes = b"answer") -> Deferred[Done]:
    return succeed(Done(200, body, "text/plain"))


class AtMostOnceMachine(RuleBasedStateMachine):
    """Entry processes that share a log and a backend server, under faults."""

    @initialize()
    def start(self) -> None:
        self.clock = VirtualClock()
        self.log = MemoryLog()
        self.logs = [HeldLog(self.log) for _ in range(PROCESSES)]
        self.processes = [
            Process(log, self.clock, skew)
            for log, skew in zip(self.logs, (0.0, 10.0, -10.0), strict=True)
        ]
        self.outcome: Any = Done(200, b"answer", "")
        self.runs: dict[str, list[float]] = defaultdict(list)
        self.calls: list[tuple[list[Any], list[float]]] = []

    @rule(number=st.integers(0, PROCESSES - 1), key=st.sampled_from("ab"))
    def call(self, number: int, key: str) -> None:
        own_runs: list[float] = []

        def send() -> Deferred[Any]:
            if not isinstance(self.outcome, FailedNotRun):
                self.runs[key].append(self.clock())
                own_runs.append(self.clock())
            return succeed(self.outcome)

        results = self.processes[number].call(key, b"body", send)
        self.calls.append((results, own_runs))

    @rule(number=st.integers(0, PROCESSES - 1), count=st.integers(1, 4))
    def advance_process(self, number: int, count: int) -> None:
        self.processes[number].run_timers()
        for _ in range(count):
            self.logs[number].deliver()

    @rule(seconds=st.sampled_from([0.06, 1.0, 31.0, 1800.0, 3700.0]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(fault=st.sampled_from(["down", "lose", "hold", "late", "up"]))
    def inject_log_fault(self, fault: str) -> None:
        self.log.down = fault == "down"
        self.log.hold_appends = fault == "hold"
        if fault == "lose":
            self.log.lose_replies += 1
        if fault == "late":
            self.log.release()

    @rule(
        outcome=st.sampled_from([Done(200, b"", ""), MayHaveRun(""), FailedNotRun("")])
    )
    def change_backend(self, outcome: Any) -> None:
        self.outcome = outcome

    @invariant()
    def no_key_runs_twice_while_it_is_valid(self) -> None:
        for times in getattr(self, "runs", {}).values():
            for earlier, later in zip(times, times[1:], strict=False):
                assert later - earlier >= MIN_SECONDS_BETWEEN_RUNS, times

    @invariant()
    def calls_reported_as_not_run_did_not_run(self) -> None:
        for results, own_runs in getattr(self, "calls", ()):
            if results and not isinstance(results[0], (Done, MayHaveRun)):
                assert not own_runs, results


class TestAtMostOnce(AtMostOnceMachine.TestCase):
    """Guards against a call that runs twice or runs after a report that it did not."""

    settings = settings(
        derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
    )


class TestAtMostOnceExecutor:
    """Guards against wrong results for lost claims and after lost log replies."""

    def setup_method(self) -> None:
        self.clock = VirtualClock()
        self.log = MemoryLog()
        self.process = Process(self.log, self.clock)

    def advance(self, seconds: float = 0.06) -> None:
        self.clock.advance(seconds)
        self.process.run_timers()

    def call(self, key: str = "a", body: bytes = b"body", send: Any = answer) -> Any:
        results = self.process.call(key, body, send)
        self.advance()
        return results[0]

    def test_lost_claim_gets_the_recorded_answer_of_the_same_call_only(self) -> None:
        running: Deferred[Done] = Deferred()
        self.process.call("a", b"body", lambda: running)
        self.advance()
        assert self.call() == ClaimLost(None)
        running.callback(Done(201, b"booked", "text/plain"))
        self.advance()
        lost = self.call()
        assert (lost.finished.status, lost.finished.body) == (201, b"booked")
        assert self.call(body=b"other") == ClaimConflict()

    def test_long_answer_is_not_given_in_part(self) -> None:
        self.call(send=lambda: answer(b"x" * 5000))
        self.advance()
        lost = self.call()
        assert (lost.finished.whole, lost.finished.body) == (False, b"")

    def test_claim_with_a_lost_reply_is_found_and_not_appended_again(self) -> None:
        self.log.lose_replies = 1
        assert self.call() == Done(200, b"answer", "text/plain")
        assert self.log.appends == 1

    def test_log_outage_refuses_and_a_delayed_claim_does_not_keep_the_key(self) -> None:
        self.log.hold_appends = True
        assert isinstance(self.call(), ClaimUnavailable)
        self.log.hold_appends = False
        self.advance(2.0)
        self.log.release()
        assert self.call() == Done(200, b"answer", "text/plain")

    def test_call_that_was_not_run_frees_its_key(self) -> None:
        self.call(send=lambda: succeed(FailedNotRun("refused")))
        self.advance()
        assert self.call() == Done(200, b"answer", "text/plain")

    def test_many_calls_of_a_key_share_their_appends(self) -> None:
        for number in range(1000):
            self.process.call("a", b"%d" % number, answer)
        for _ in range(10):
            self.advance(0.1)
        assert self.log.appends <= 10

    def test_claims_are_refused_for_an_hour_after_records_were_removed(self) -> None:
        log = MemoryLog(max_records=3)
        for _ in range(5):
            for number in range(16):
                log.append(f"calls-{number:02d}", b"garbage")
        self.process = Process(log, self.clock)
        assert isinstance(self.call(), ClaimUnavailable)
        self.advance(KEY_VALID_SECONDS + 61)
        assert isinstance(self.call(key="a"), Done)
