"""Tests of the stream follower."""

from __future__ import annotations

from tests.support import MemoryLog, VirtualClock
from wisteriagw.clients import LogUnavailableError
from wisteriagw.config import apply_record, build_empty_config
from wisteriagw.follower import RecordHistory, StreamFollower
from wisteriagw.records import CustomerCreated, encode_record


def build_follower(log: MemoryLog, clock: VirtualClock) -> StreamFollower:
    """Return a follower of the configuration stream."""
    return StreamFollower(log, "config", build_empty_config(), apply_record, clock)


class TestRecordHistory:
    """Guards against records with a gap, after which a change is never applied."""

    def test_gap_clears_the_history(self) -> None:
        history = RecordHistory(1_000)
        for offset in (0, 1, 7, 8):
            history.add(offset, b"x")
        assert history.list_from(0, 1_000) == ()
        assert history.list_from(7, 1_000) == ((7, b"x"), (8, b"x"))


class TestStreamFollower:
    """Guards against a reader that stops at garbage or takes an outage for the tip."""

    def test_garbage_is_skipped_and_reported(self) -> None:
        log = MemoryLog()
        log.append("config", b"\xff\x00 not cbor")
        log.append("config", encode_record(CustomerCreated("a", "ann", "n")))
        follower = build_follower(log, VirtualClock())
        follower.poll()
        assert follower.state.customers == {"a"}
        assert [finding.place for finding in follower.findings] == ["config@0"]

    def test_outage_does_not_update_the_last_tip_read(self) -> None:
        log, clock = MemoryLog(), VirtualClock()
        follower = build_follower(log, clock)
        follower.poll()
        read_at = follower.last_tip_read_at
        clock.advance(5)
        log.down = True
        failures: list[object] = []
        follower.poll().addErrback(failures.append)
        assert failures[0].check(LogUnavailableError)
        assert follower.last_tip_read_at == read_at

    def test_records_removed_before_they_were_read_are_reported_to_the_fold(
        self,
    ) -> None:
        # An empty page before the first offset must not be read repeatedly.
        log, clock = MemoryLog(max_records=0), VirtualClock()
        for _ in range(3):
            log.append("config", b"")
        follower = StreamFollower(
            log,
            "config",
            [],
            lambda *_: None,
            clock,
            apply_record_loss=lambda state, first: [first],
        )
        follower.poll()
        assert follower.state == [3]
        assert follower.last_tip_read_at == clock()
