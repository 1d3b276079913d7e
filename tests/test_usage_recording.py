"""Tests of the counting of relayed work and of the copies of partials."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any, NamedTuple

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule
from twisted.internet.defer import succeed
from twisted.web.http_headers import Headers

from tests.support import MemoryLog, UsageVms, VirtualClock
from wisteriagw.backends import (
    CACHED_TOKENS_HEADER,
    FIGURE_NAMES,
    PROMPT_TOKENS_HEADER,
    read_stream_end,
)
from wisteriagw.entry._generation_plan import GenerationPlan
from wisteriagw.entry._usage_recorder import UsageRecorder
from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.records import UsageBatch
from wisteriagw.standins._engine import Engine
from wisteriagw.standins._engine_speed import EngineSpeed
from wisteriagw.usage import (
    UsageCounter,
    UsageFigures,
    apply_usage_record,
    build_empty_usage,
)

VMS = ("vm-0", "vm-1")
MAX_TOKENS = 5
ANSWER = Done(200, b"")


class EventSink:
    """Reader of an engine's stream that tracks the next token index and the end."""

    def __init__(self) -> None:
        self.next_index = 0
        self.end: Any = None
        self.transport = self

    def write(self, data: bytes) -> None:
        id_line, _, rest = data.partition(b"\n")
        if rest.startswith(b"event: end\ndata: "):
            self.end = read_stream_end(rest.partition(b"data: ")[2])
        elif not rest.startswith(b"event:"):
            self.next_index = int(id_line.rpartition(b"/")[2]) + 1

    def finish(self) -> None:
        """End the response; the tests look at ``end``."""

    def abortConnection(self) -> None:
        """Close the connection; the engine keeps the generation."""


class RelayedStream(NamedTuple):
    """A stream of a caller, its recorded usage and the engine that generates it."""

    request_id: str
    vm: str
    attempt: str
    engine: Engine
    usage: Any
    sink: EventSink


class RecorderMachine(RuleBasedStateMachine):
    """Streams that are resumed, continued and abandoned over two VMs and engines."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock(600.0)
        self.recorders = {vm: self.start_recorder(vm) for vm in VMS}
        self.engines = [Engine(EngineSpeed(1000, 0.01)) for _ in range(2)]
        self.streams: list[RelayedStream] = []
        self.ended: list[RelayedStream] = []
        self.partials: list = []
        self.attempts = 0

    def start_recorder(self, vm: str) -> UsageRecorder:
        return UsageRecorder(vm, self.clock, 60)

    def open(
        self, request_id: str, vm: str, engine: Engine, usage: Any, next_index: int
    ):
        self.attempts += 1
        sink, attempt = EventSink(), str(self.attempts)
        generation = engine.generations.get(request_id)
        if generation is None:
            body = {
                "request_id": request_id,
                "attempt": attempt,
                "customer": "large",
                "model": "m",
                "adapter": "",
                "prompt": "p" * 40,
                "max_tokens": MAX_TOKENS,
                "priority": 0,
                "generated": "token " * next_index,
                "first_index": next_index,
            }
            generation = engine.start(body, sink)
        else:
            engine.resume(generation, attempt, next_index, sink)
        head = {
            PROMPT_TOKENS_HEADER: [b"%d" % generation.prompt_tokens],
            CACHED_TOKENS_HEADER: [b"%d" % generation.cached_tokens],
        }
        usage.record_prompt_figures(Headers(head))
        stream = RelayedStream(request_id, vm, attempt, engine, usage, sink)
        self.streams.append(stream)
        self.relay_events()

    def relay_events(self) -> None:
        """Pass on to the relays what the engines wrote."""
        for stream in list(self.streams):
            stream.usage.next_index = max(
                stream.usage.next_index, stream.sink.next_index
            )
            if stream.sink.end is not None:
                stream.usage.finish(stream.sink.end)
                self.streams.remove(stream)
                self.ended.append(stream)

    def resume(self, stream: RelayedStream, vm: str) -> None:
        """Resume a stream by its id through a VM."""
        plan = GenerationPlan(stream.request_id, "large", None, 0.0)
        usage, next_index = self.recorders[vm].track(plan), stream.usage.next_index
        self.open(stream.request_id, vm, stream.engine, usage, next_index)

    @rule(vm=st.sampled_from(VMS), engine=st.integers(0, 1))
    def begin(self, vm: str, engine: int) -> None:
        request_id = f"r{self.attempts}"
        plan = GenerationPlan(request_id, "large", "chat", 0.0)
        usage = self.recorders[vm].track(plan)
        self.open(request_id, vm, self.engines[engine], usage, 0)

    @rule(steps=st.integers(1, MAX_TOKENS))
    def generate(self, steps: int) -> None:
        for _ in range(steps):
            for engine in self.engines:
                engine.step(0.01)
        self.relay_events()

    @rule(engine=st.integers(0, 1), crash=st.booleans())
    def lose_engine(self, engine: int, crash: bool) -> None:
        """Resume the streams on the same engine, or continue them on the other one."""
        interrupted = [
            item for item in self.streams if item.engine is self.engines[engine]
        ]
        if crash:
            self.engines[engine].crash()
        else:
            self.engines[engine].cut_connections()
        for stream in interrupted:
            self.streams.remove(stream)
            stream.usage.mark_interrupted()
            target = self.engines[1 - engine] if crash else stream.engine
            next_index = stream.usage.next_index
            self.open(stream.request_id, stream.vm, target, stream.usage, next_index)

    @precondition(lambda self: self.streams)
    @rule(index=st.integers(0, 9), cancel=st.booleans(), vm=st.sampled_from(VMS))
    def leave(self, index: int, cancel: bool, vm: str) -> None:
        """Disconnect a caller, for good or until it resumes before the late cancel."""
        stream = self.streams.pop(index % len(self.streams))
        stream.usage.stop()
        if not cancel:
            self.resume(stream, vm)
        identity = (stream.request_id, "large", stream.attempt)
        generation = stream.engine.cancel(*identity)
        figures = generation.figures if generation else {}
        stream.usage.record_cancel_reply(Done(200, json.dumps(figures).encode()))

    @precondition(lambda self: self.ended)
    @rule(index=st.integers(0, 9), vm=st.sampled_from(VMS))
    def read_again(self, index: int, vm: str) -> None:
        """Read a response again, as a caller that did not receive its end does."""
        stream = self.ended[index % len(self.ended)]
        if stream.request_id in stream.engine.generations:
            self.resume(stream, vm)

    @rule(vm=st.sampled_from(VMS))
    def kill(self, vm: str) -> None:
        """Kill a VM after it created a partial; its callers move to the other VM."""
        self.cut(vm)
        self.recorders[vm] = self.start_recorder(vm)
        for stream in [item for item in self.streams if item.vm == vm]:
            self.streams.remove(stream)
            stream.engine.detach_reader(
                stream.engine.generations[stream.request_id], stream.sink
            )
            self.resume(stream, VMS[1 - VMS.index(vm)])

    @rule(vm=st.sampled_from(VMS))
    def cut(self, vm: str) -> None:
        partial = self.recorders[vm].counter.create_partial()
        if partial is not None:
            self.partials.append(partial)

    def teardown(self) -> None:
        """Check that the figures are the work done, each request once."""
        while self.streams:
            self.generate(MAX_TOKENS)
        for vm in VMS:
            self.cut(vm)
        state = build_empty_usage()
        for offset, partial in enumerate([*self.partials, *self.partials]):
            state = apply_usage_record(UsageBatch([list(partial)]), state, offset)
        work: dict[str, Counter] = {}
        for engine in self.engines:
            for done in engine.work:
                work.setdefault(done.request_id, Counter())
                work[done.request_id] |= Counter(done.figures)
        total = sum(work.values(), Counter())
        expected = [total[name] for name in FIGURE_NAMES]
        counted = [sum(column) for column in zip(*state.totals.values(), strict=True)]
        assert (counted or [0, 0, 0, 0]) == [*expected, 0]


TestRecordingUnderInterruptions = RecorderMachine.TestCase
TestRecordingUnderInterruptions.settings = settings(
    max_examples=120, stateful_step_count=25, derandomize=True, deadline=None
)


class TestGenerationUsage:
    """Guards against tokens that are billed and were never sent to the caller."""

    def test_cancelled_attempt_does_not_count_while_another_one_continues(self) -> None:
        recorder = UsageRecorder("vm-0", VirtualClock(600.0), 60)
        usage = recorder.track(GenerationPlan("r", "large", "chat", 0.0))
        usage.next_index = 3
        usage.mark_interrupted()
        figures = dict(zip(FIGURE_NAMES, (10, 0, 9), strict=True))
        usage.record_cancel_reply(Done(200, json.dumps(figures).encode()))
        usage.finish({**figures, "generated_tokens": 5, "ended_before": False})
        assert recorder.counter.create_partial().requests == [
            ["r", 10, "large", 10, 0, 5, 0]
        ]

    def test_generation_that_is_open_at_shutdown_counts_and_may_still_end(self) -> None:
        recorder = UsageRecorder("vm-0", VirtualClock(600.0), 60)
        usage = recorder.track(GenerationPlan("r", "large", "chat", 0.0))
        usage.next_index = 3
        recorder.count_open()
        assert recorder.counter.create_partial().requests[0][5] == 3
        figures = dict(zip(FIGURE_NAMES, (10, 0, 9), strict=True))
        usage.finish({**figures, "ended_before": False})
        assert recorder.counter.create_partial().requests[0][5] == 9

    def test_later_smaller_figures_of_a_request_change_nothing(self) -> None:
        counter = UsageCounter("vm-0", "i")
        for generated in (9, 4):
            counter.count_by_id("r", 5, "large", UsageFigures(1, 0, generated, 0))
        assert counter.create_partial().requests == [["r", 5, "large", 1, 0, 9, 0]]


class TestServiceCalls:
    """Guards against calls that are billed per attempt, or for nothing."""

    @pytest.mark.parametrize(
        ("outcome", "idempotent", "customer", "calls"),
        [
            (ANSWER, True, "large", 1),
            (ANSWER, False, "large", 1),
            (ANSWER, True, "", 0),
            (MayHaveRun("lost"), False, "large", 1),
            (MayHaveRun("lost"), True, "large", 0),
            (FailedNotRun("down"), False, "large", 0),
            (RefusedNotRun("overloaded", "full"), False, "large", 0),
        ],
    )
    def test_call_counts_by_its_outcome(
        self, outcome: Any, idempotent: bool, customer: str, calls: int
    ) -> None:
        recorder = UsageRecorder("vm-0", VirtualClock(600.0), 60)
        recorder.run_call(lambda: succeed(outcome), customer, idempotent=idempotent)
        partial = recorder.counter.create_partial()
        entries = partial.entries if partial else []
        assert entries == [[10, "large", 0, 0, 0, 1]] * calls


class TestUsageCounterBounds:
    """Guards against memory that grows with the length of a log outage."""

    def test_partials_requests_and_their_number_are_bounded(self) -> None:
        counter = UsageCounter("vm-0", "i")
        for number in range(100_100):
            counter.count_by_id(str(number), 5, "large", UsageFigures(1, 0, 1, 0))
        assert counter.dropped_requests == 100
        assert len(counter.create_partial().requests) == 500
        while counter.create_partial() is not None:
            continue
        for _ in range(2_000):
            counter.count(5, "large", UsageFigures(1, 0, 1, 0))
            counter.create_partial()
        assert len(counter.pending) == 1_200
        counter.mark_appended(0)
        assert counter.create_partial().entries == [[5, "large", 1_000, 0, 1_000, 0]]


class TestUsageCopies:
    """Guards against usage that is lost with a VM or counted by two."""

    def setup_method(self) -> None:
        self.log = MemoryLog()
        data_centres = {"vm-0": "dc1", "vm-1": "dc1", "vm-2": "dc2", "vm-3": "dc3"}
        self.vms = UsageVms(data_centres, self.log)

    def count(self, vm: str) -> None:
        self.vms.contexts[vm].usage.count("large", UsageFigures(1, 0, 1, 0))

    def count_copies(self, origin: str) -> dict[str, int]:
        copies = {
            vm: len(replicator.copies.list_partials(origin))
            for vm, replicator in self.vms.replicators.items()
        }
        return {vm: count for vm, count in copies.items() if count}

    def sum_log(self) -> int:
        return self.vms.read_usage()

    def test_copies_go_to_other_data_centres_and_are_dropped_after_the_append(
        self,
    ) -> None:
        self.log.down = True
        self.count("vm-0")
        self.vms.run(1.0)
        assert self.count_copies("vm-0") == {"vm-2": 1, "vm-3": 1}
        self.log.down = False
        self.vms.run(3.0)
        assert self.count_copies("vm-0") == {}
        assert self.sum_log() == 1

    def test_backlog_of_an_outage_is_appended_at_a_bounded_rate(self) -> None:
        self.log.down = True
        for _ in range(60):
            self.count("vm-0")
            self.vms.run(0.5)
        self.log.down, self.log.appends = False, 0
        self.vms.run(4.0)
        assert (self.log.appends, self.sum_log()) == (4, 40)
        self.vms.run(2.0)
        assert (self.log.appends, self.sum_log()) == (6, 60)

    def test_own_data_centre_is_used_without_others(self) -> None:
        self.vms = UsageVms(dict.fromkeys(VMS, "dc1"), self.log)
        self.log.down = True
        self.count("vm-0")
        self.vms.run(1.0)
        assert self.count_copies("vm-0") == {"vm-1": 1}

    @pytest.mark.parametrize("leaves_list", [True, False])
    def test_peers_append_for_a_failed_vm_and_a_resumed_one_counts_once(
        self, leaves_list: bool
    ) -> None:
        self.log.down = True
        self.count("vm-0")
        self.vms.run(1.0)
        self.vms.pause("vm-0", leaves_list=leaves_list)
        self.log.down = False
        self.vms.run(3.0 if leaves_list else 10.0)
        assert self.sum_log() == 1
        assert self.count_copies("vm-0") == {}
        self.vms.resume("vm-0")
        self.vms.run(3.0)
        assert self.sum_log() == 1

    def test_copies_of_a_process_that_was_restarted_are_appended(self) -> None:
        self.log.down = True
        self.count("vm-0")
        self.vms.run(1.0)
        self.vms.restart("vm-0")
        self.log.down = False
        self.vms.run(40.0)
        assert self.sum_log() == 1
        assert self.count_copies("vm-0") == {}

    @pytest.mark.parametrize("down", [True, False])
    def test_shutdown_appends_or_copies_everything(self, down: bool) -> None:
        self.log.down = down
        self.count("vm-0")
        finished: list[Any] = []
        self.vms.replicators["vm-0"].shut_down().addCallback(finished.append)
        assert finished == [None]
        copied = {"vm-2": 1, "vm-3": 1} if down else {}
        assert self.count_copies("vm-0") == copied
        self.vms.pause("vm-0", leaves_list=True)
        self.log.down = False
        self.vms.run(3.0)
        assert self.sum_log() == 1
