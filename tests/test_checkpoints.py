"""Tests of checkpoints and of recovery from them."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tests.support import MemoryLog, VirtualClock
from wisteriagw.checkpoints import (
    CheckpointProgress,
    Retention,
    add_part,
    build_collection,
    choose_checkpoint,
    is_checkpoint_due,
    split_state,
)
from wisteriagw.config import CONFIG_CODEC, apply_record, build_empty_config
from wisteriagw.follower import CheckpointWriter, StreamFollower
from wisteriagw.records import CustomerCreated, encode_record

KEPT = 40
ALWAYS = Retention(KEPT, 0.0)


def build_follower(log: MemoryLog, clock: VirtualClock) -> StreamFollower:
    """Return a follower of the configuration that uses checkpoints."""
    return StreamFollower(
        log, "config", build_empty_config(), apply_record, clock, CONFIG_CODEC
    )


def append_customers(log: MemoryLog, count: int) -> None:
    """Append records that create customers with new names."""
    for _ in range(count):
        name = f"c{log.appends}"
        log.append("config", encode_record(CustomerCreated(name, "ann", name)))


class RecoveryMachine(RuleBasedStateMachine):
    """Readers, slow checkpoint writers and a log that removes its oldest records.

    ``reference`` folds every record without a checkpoint; all readers must agree with
    it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.log, self.clock = MemoryLog(KEPT), VirtualClock()
        self.reference = StreamFollower(
            self.log, "config", build_empty_config(), apply_record, self.clock
        )
        self.readers = [build_follower(self.log, self.clock)]
        self.states = {0: self.reference.state}
        self.pending: list[bytes] = []

    def follow(self) -> None:
        """Fold the new records one at a time and keep the state at each offset."""
        for offset in range(self.reference.next_offset, self.log.tip("config")):
            self.reference.apply_records(
                self.log.store.read("config", offset, 1).records
            )
            self.states[offset + 1] = self.reference.state

    @rule(count=st.integers(1, 15))
    def change(self, count: int) -> None:
        for _ in range(count):
            append_customers(self.log, 1)
            self.follow()

    @rule()
    def append_garbage(self) -> None:
        self.log.append("config", b"\xff\x00")
        self.follow()

    @rule(part_bytes=st.sampled_from([16, 64, 4096]), back=st.integers(0, 30))
    def begin_checkpoint(self, part_bytes: int, back: int) -> None:
        """Prepare the parts of a checkpoint, possibly of an outdated state."""
        through = max(self.reference.next_offset - 1 - back, -1)
        data = CONFIG_CODEC.encode(self.states[through + 1])
        parts = split_state(CONFIG_CODEC.fold, through, data, part_bytes)
        self.pending += [encode_record(part) for part in parts]

    @rule(count=st.integers(1, 12), order=st.randoms(use_true_random=False))
    def append_parts(self, count: int, order) -> None:
        order.shuffle(self.pending)
        for _ in range(min(count, len(self.pending))):
            self.log.append("config", self.pending.pop())
            self.follow()

    @rule()
    def stop_writers(self) -> None:
        self.pending.clear()

    @rule()
    def append_damaged_part(self) -> None:
        data = CONFIG_CODEC.encode(build_empty_config())
        part = split_state(CONFIG_CODEC.fold, self.reference.next_offset - 1, data)[0]
        self.log.append("config", encode_record(part._replace(digest=b"x" * 32)))
        self.follow()

    @rule(reader=st.integers(0, 2))
    def poll(self, reader: int) -> None:
        if reader >= len(self.readers):
            self.readers.append(build_follower(self.log, self.clock))
            reader = len(self.readers) - 1
        chosen = self.readers[reader]
        before = chosen.next_offset
        chosen.poll()
        assert chosen.next_offset >= before, "the offset of the reader decreased"
        at_tip = chosen.next_offset == self.reference.next_offset
        assert at_tip != chosen.state_incomplete

    @invariant()
    def readers_agree(self) -> None:
        for reader in self.readers:
            assert reader.state == self.states[reader.next_offset]


TestRecoveryMachine = RecoveryMachine.TestCase
TestRecoveryMachine.__doc__ = (
    "Guards against a checkpoint that skips, reverts or adds records."
)
TestRecoveryMachine.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class TestStart:
    """Guards against a new reader that takes an incomplete state for a complete one."""

    def test_new_reader_loads_a_checkpoint_if_the_first_records_were_removed(
        self,
    ) -> None:
        log, clock = MemoryLog(KEPT), VirtualClock()
        reader = build_follower(log, clock)
        append_customers(log, 30)
        reader.poll()
        writer = CheckpointWriter(log, reader, ALWAYS, clock)
        written: list[bool] = []
        writer.write_if_due().addCallback(written.append)
        append_customers(log, 20)
        fresh = build_follower(log, clock)
        fresh.poll()
        reader.poll()
        assert written == [True]
        assert fresh.state == reader.state
        assert len(fresh.state.customers) == 50
        assert not fresh.state_incomplete

    def test_without_a_complete_checkpoint_the_state_is_incomplete(self) -> None:
        log, clock = MemoryLog(KEPT), VirtualClock()
        append_customers(log, KEPT + 1)
        fresh = build_follower(log, clock)
        fresh.poll()
        assert fresh.state_incomplete
        assert fresh.state == build_empty_config()
        assert fresh.last_tip_read_at is None

    def test_search_goes_back_beyond_its_first_window(self) -> None:
        log, clock = MemoryLog(4050), VirtualClock()
        reader = build_follower(log, clock)
        append_customers(log, 100)
        reader.poll()
        CheckpointWriter(log, reader, ALWAYS, clock).write_if_due()
        for _ in range(4000):
            log.append("config", b"garbage")
        fresh = build_follower(log, clock)
        fresh.poll()
        assert log.read("config", 0, 1).result.first_offset > 0
        assert fresh.state == reader.state
        assert fresh.next_offset == log.tip("config")

    def test_distant_tip_is_reached_from_a_checkpoint_if_all_records_are_kept(self):
        log, clock = MemoryLog(), VirtualClock()
        reader = build_follower(log, clock)
        append_customers(log, 2500)
        reader.poll()
        CheckpointWriter(log, reader, ALWAYS, clock).write_if_due()
        applied: list[int] = []

        def apply(record, state, offset):
            applied.append(offset)
            return apply_record(record, state, offset)

        append_customers(log, 3)
        fresh = StreamFollower(
            log, "config", build_empty_config(), apply, clock, CONFIG_CODEC
        )
        fresh.poll()
        reader.poll()
        assert fresh.state == reader.state
        assert len(applied) == 3

    def test_follower_without_codec_folds_remaining_records_and_is_incomplete(
        self,
    ) -> None:
        log = MemoryLog(KEPT)
        append_customers(log, KEPT + 1)
        reader = StreamFollower(
            log, "config", build_empty_config(), apply_record, VirtualClock()
        )
        reader.poll()
        assert reader.state_incomplete
        assert len(reader.state.customers) == KEPT

    def test_search_during_which_another_poll_advances_does_not_revert(self) -> None:
        log, clock = MemoryLog(KEPT), VirtualClock()
        reader, fresh = build_follower(log, clock), build_follower(log, clock)
        append_customers(log, KEPT)
        reader.poll()
        CheckpointWriter(log, reader, ALWAYS, clock).write_if_due()
        read, offsets = log.read, []

        def read_with_other_poll(stream: str, start: int, limit: int):
            page = read(stream, start, limit)
            offsets.append(fresh.next_offset)
            if len(offsets) == 3:
                append_customers(log, 5)
                fresh.poll()
                offsets.append(fresh.next_offset)
            return page

        log.read = read_with_other_poll
        fresh.poll()
        reader.poll()
        assert offsets == sorted(offsets)
        assert fresh.next_offset == log.tip("config")
        assert fresh.state == reader.state

    def test_failed_append_ends_the_attempt_and_the_next_one_is_complete(self) -> None:
        log, clock = MemoryLog(KEPT), VirtualClock()
        reader = build_follower(log, clock)
        append_customers(log, 5)
        reader.poll()
        writer = CheckpointWriter(log, reader, ALWAYS, clock)
        log.down = True
        results: list[bool] = []
        writer.write_if_due().addCallback(results.append)
        log.down = False
        writer.write_if_due().addCallback(results.append)
        assert results == [False, True]

    def test_findings_are_bounded(self) -> None:
        log = MemoryLog()
        for _ in range(300):
            log.append("config", b"garbage")
        reader = build_follower(log, VirtualClock())
        reader.poll()
        assert len(reader.findings) == 100


class TestChoice:
    """Guards against the use of a checkpoint that must not be used."""

    @pytest.mark.parametrize(
        ("through", "offset", "next_offset", "first_offset", "used"),
        [
            (9, 10, 0, 10, True),
            (9, 10, 0, 11, False),
            (9, 10, 11, 0, False),
            (10, 10, 0, 0, False),
        ],
        ids=["next record kept", "skips a record", "older state", "includes itself"],
    )
    def test_use(self, through, offset, next_offset, first_offset, used) -> None:
        collection = build_collection("fold")
        for part in split_state("fold", through, b"state"):
            collection = add_part(collection, part, offset)
        chosen = choose_checkpoint(collection, next_offset, first_offset)
        assert (chosen is not None) == used

    def test_interleaved_parts_of_two_writers_do_not_mix(self) -> None:
        collection = build_collection("fold")
        first, second = (split_state("fold", 9, data, 2) for data in (b"abc", b"xyz"))
        for offset, part in enumerate((first[0], second[1], second[0], first[1])):
            collection = add_part(collection, part, 10 + offset)
        assert choose_checkpoint(collection, 0, 10).data == b"xyz"

    def test_parts_of_incomplete_checkpoints_are_bounded(self) -> None:
        collection = build_collection("fold")
        for through in range(100):
            part = split_state("fold", through, b"abc", 2)[0]
            collection = add_part(collection, part, through + 1)
        assert len(collection.groups) == 8


class TestDue:
    """Guards against checkpoints that are written too late or cause each other."""

    @pytest.mark.parametrize(
        ("progress", "now", "due"),
        [
            (CheckpointProgress(999, -1, 0, 0.0), 1.0, False),
            (CheckpointProgress(1000, -1, 0, 0.0), 1.0, True),
            (CheckpointProgress(1203, 1000, 202, 0.0), 1.0, False),
            (CheckpointProgress(1204, 1000, 3, 0.0), 1.0, False),
            (CheckpointProgress(3004, 1000, 3, 0.0), 1.0, True),
            (CheckpointProgress(1004, 1000, 3, 0.0), 50.0, True),
            (CheckpointProgress(0, -1, 0, 0.0), 50.0, False),
        ],
    )
    def test_due(self, progress, now, due) -> None:
        assert is_checkpoint_due(progress, Retention(2000, 100.0), now) == due
