"""Tests of the usage figures."""

from __future__ import annotations

from collections import Counter

import cbor2
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.support import MemoryLog, VirtualClock
from wisteriagw.clients import LogUnavailableError
from wisteriagw.follower import StreamFollower
from wisteriagw.records import (
    FiguresRecorded,
    UsageBatch,
    WindowReported,
    WindowSealed,
    encode_record,
)
from wisteriagw.usage import (
    PartialCopies,
    RecordFigures,
    SealWindows,
    SendReport,
    UsageCounter,
    UsageFigures,
    UsagePartial,
    append_partials,
    apply_usage_record,
    build_empty_usage,
    build_rows,
    decide_reporting_steps,
    decode_usage_state,
    encode_usage_state,
    get_newest_closable_window,
    get_window,
)

VMS = ("vm-0", "vm-1", "vm-2")
CUSTOMERS = ("large", "small")


def fold(*records: object):
    """Return the state after some records at offsets 0, 1 and so on."""
    state = build_empty_usage()
    for offset, record in enumerate(records):
        if isinstance(record, UsagePartial):
            record = UsageBatch([list(record)])
        state = apply_usage_record(record, state, offset)
    return state


def build_partial(seq: int, generated: int, window: int = 5) -> UsagePartial:
    """Return a partial with one entry."""
    return UsagePartial("vm-0", "i", seq, [[window, "small", 10, 0, generated, 0]], [])


class TestUsageFold:
    """Guards against usage that counts twice, is lost, or changes after the seal."""

    def test_repeated_partial_counts_once(self) -> None:
        state = fold(build_partial(0, 7), build_partial(1, 1), build_partial(0, 7))
        assert build_rows(state, 5) == [["small", 5, 20, 0, 8, 0]]

    def test_late_usage_goes_to_the_next_window_with_its_origin(self) -> None:
        state = fold(build_partial(0, 7), WindowSealed(5, 1), build_partial(1, 2))
        assert build_rows(state, 5) == [["small", 5, 10, 0, 7, 0]]
        assert build_rows(state, 6) == [["small", 5, 10, 0, 2, 0]]

    def test_seal_of_a_paused_process_is_ignored(self) -> None:
        state = fold(WindowSealed(7, 2), WindowSealed(5, 1))
        assert state.sealed_window == 7

    def test_resumed_request_counts_its_largest_figures_once(self) -> None:
        first = UsagePartial("vm-0", "i", 0, [], [["r", 5, "small", 10, 0, 3, 0]])
        second = UsagePartial("vm-1", "j", 0, [], [["r", 5, "small", 10, 0, 9, 0]])
        for order in ((first, second), (second, first)):
            assert build_rows(fold(*order), 5) == [["small", 5, 10, 0, 9, 0]]

    def test_other_figures_for_a_sealed_window_are_ignored(self) -> None:
        wrong = FiguresRecorded(5, 1, [["small", 5, 10, 0, 99, 0]])
        state = fold(build_partial(0, 7), WindowSealed(5, 1), wrong)
        assert state.recorded == {}

    def test_state_is_equal_after_encoding_and_decoding(self) -> None:
        state = fold(
            build_partial(0, 7),
            build_partial(3, 7),
            UsagePartial("vm-1", "j", 0, [], [["r", 5, "small", 10, 0, 9, 0]]),
            WindowSealed(5, 1),
        )
        plain = cbor2.loads(cbor2.dumps(encode_usage_state(state)))
        assert decode_usage_state(plain) == state


class UsageMachine(RuleBasedStateMachine):
    """Entry processes, peers and reporters under kills, pauses and log faults."""

    def __init__(self) -> None:
        super().__init__()
        self.log = MemoryLog()
        self.clock = VirtualClock(600.0)
        self.incarnation = 0
        self.counters = {vm: self._start(vm) for vm in VMS}
        self.copies = {vm: PartialCopies() for vm in VMS}
        self.unbatched: dict[str, Counter] = {vm: Counter() for vm in VMS}
        self.done: Counter = Counter()
        self.followers = [self._follow() for _ in range(2)]
        self.planned: list[list] = [[], []]
        self.reports: dict[tuple[int, str], list] = {}
        self.conflicts: list = []

    def _start(self, vm: str) -> UsageCounter:
        self.incarnation += 1
        return UsageCounter(vm, str(self.incarnation))

    def _follow(self) -> StreamFollower:
        return StreamFollower(
            self.log, "usage", build_empty_usage(), apply_usage_record, self.clock
        )

    def _append(self, record: object) -> bool:
        results: list[bool] = []
        appended = self.log.append("usage", encode_record(record))
        appended.addCallbacks(lambda _: True, lambda f: f.trap(LogUnavailableError))
        appended.addCallback(results.append)
        return results[0] is True

    def _append_partials(self, partials: list[UsagePartial]) -> list[UsagePartial]:
        results: list[list[UsagePartial]] = []
        appended = append_partials(self.log, partials)
        appended.addErrback(lambda f: f.trap(LogUnavailableError) and [])
        appended.addCallback(results.append)
        return results[0]

    @rule(vm=st.sampled_from(VMS), customer=st.sampled_from(CUSTOMERS))
    def serve(self, vm: str, customer: str) -> None:
        figures = UsageFigures(100, 20, 7, 0)
        self.counters[vm].count(get_window(self.clock()), customer, figures)
        self.unbatched[vm][customer] += figures.generated_tokens
        self.done[customer] += figures.generated_tokens

    @rule(
        first=st.sampled_from(VMS), second=st.sampled_from(VMS), cut=st.integers(1, 9)
    )
    def resume_elsewhere(self, first: str, second: str, cut: int) -> None:
        request_id = f"r{len(self.done)}-{sum(self.done.values())}-{self.clock.now}"
        window = get_window(self.clock())
        counter = self.counters[first]
        counter.count_by_id(request_id, window, "small", UsageFigures(50, 0, cut, 0))
        counter = self.counters[second]
        counter.count_by_id(request_id, window, "small", UsageFigures(50, 0, 10, 0))
        self.unbatched[second]["small"] += 10
        self.done["small"] += 10
        self.copy(first)
        self.copy(second)

    @rule(vm=st.sampled_from(VMS))
    def copy(self, vm: str) -> None:
        partial = self.counters[vm].create_partial()
        self.unbatched[vm].clear()
        if partial is None:
            return
        for peer in VMS:
            if peer != vm:
                assert self.copies[peer].store(partial)

    @rule(vm=st.sampled_from(VMS))
    def append(self, vm: str) -> None:
        self.copy(vm)
        for partial in self._append_partials(self.counters[vm].list_pending()):
            self.counters[vm].mark_appended(partial.seq)
            for peer in VMS:
                keys = (partial.vm, partial.incarnation, [partial.seq])
                self.copies[peer].discard(*keys)

    @rule(vm=st.sampled_from(VMS))
    def kill(self, vm: str) -> None:
        # Only usage that is in no partial yet is lost: at most the last 0.5 s.
        self.done.subtract(self.unbatched[vm])
        self.unbatched[vm].clear()
        self.counters[vm] = self._start(vm)
        for peer in VMS:
            if peer != vm:
                self.recover(peer, vm)

    def recover(self, peer: str, vm: str) -> None:
        """Append a peer's copies of a failed process."""
        for partial in self._append_partials(self.copies[peer].list_partials(vm)):
            keys = (partial.vm, partial.incarnation, [partial.seq])
            self.copies[peer].discard(*keys)

    @rule(fault=st.sampled_from(("down", "up", "lose", "hold", "release")))
    def switch_fault(self, fault: str) -> None:
        self.log.down = fault == "down"
        self.log.hold_appends = fault == "hold"
        self.log.lose_replies = 1 if fault == "lose" else 0
        if fault == "release":
            self.log.release()

    @rule(seconds=st.sampled_from((1, 20, 70)))
    def wait(self, seconds: int) -> None:
        self.clock.advance(seconds)

    @rule(reporter=st.integers(0, 1))
    def plan(self, reporter: int) -> None:
        """Decide steps; a reporter that is paused here executes them much later."""
        follower = self.followers[reporter]
        follower.poll().addErrback(lambda f: f.trap(LogUnavailableError))
        closable = get_newest_closable_window(self.clock())
        self.planned[reporter] = decide_reporting_steps(follower.state, closable)

    @rule(reporter=st.integers(0, 1), lost=st.booleans())
    def act(self, reporter: int, lost: bool) -> None:
        steps, self.planned[reporter] = self.planned[reporter], []
        for step in steps:
            self._execute(step, lost)

    @rule(reporter=st.integers(0, 1))
    def close_windows(self, reporter: int) -> None:
        """Run a reporter until past windows are reported, unless faults prevent it."""
        self.clock.advance(80)
        for _ in range(3):
            self.plan(reporter)
            self.act(reporter, lost=False)

    def _execute(self, step: object, lost: bool) -> None:
        if isinstance(step, SealWindows):
            self._append(WindowSealed(step.window, 0))
            return
        if isinstance(step, RecordFigures):
            self._append(FiguresRecorded(step.window, 0, step.rows))
            return
        assert isinstance(step, SendReport)
        known = self.reports.setdefault((step.window, step.customer), step.rows)
        if known != step.rows:
            self.conflicts.append((known, step))
        if not lost:
            self._append(WindowReported(step.window, step.customer, 0))

    @invariant()
    def no_window_is_reported_with_different_figures(self) -> None:
        assert self.conflicts == []

    def teardown(self) -> None:
        """After all faults have ended, the reports equal the work done."""
        self.switch_fault("release")
        for vm in VMS:
            self.append(vm)
            for peer in VMS:
                self.recover(peer, vm)
        self.clock.advance(200)
        for _ in range(8):
            self.plan(0)
            self.act(0, lost=False)
        reported: Counter = Counter()
        for rows in self.reports.values():
            for customer, _, _, _, generated, _ in rows:
                reported[customer] += generated
        assert +reported == +self.done


TestUsageUnderFaults = UsageMachine.TestCase
TestUsageUnderFaults.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
