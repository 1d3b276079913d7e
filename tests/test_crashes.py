"""Tests of the evidence on prompt parts that crash engines, and of quarantines."""

from __future__ import annotations

import pytest

from wisteriagw.crashes import (
    CrashHistory,
    Quarantine,
    QuarantineList,
    Signature,
    find_signatures,
)
from wisteriagw.crashes._crash_history import MAX_CRASHES, MAX_PARTS, MEMORY_SECONDS
from wisteriagw.crashes._quarantine_list import (
    FIRST_SECONDS,
    MAX_QUARANTINES,
    MAX_SECONDS,
)

CRASHED_AT = {f"c{number}": float(number) for number in range(10)}


def list_parts(
    suspects, crashed_at=CRASHED_AT, answered=(), open_seconds: float = 0.5
) -> list[set[str]]:
    """Return the parts of each signature, of requests open for some time."""
    came_at = {
        part: {crash: crashed_at[crash] - open_seconds for crash in crashes}
        for part, crashes in suspects.items()
    }
    return [set(one.parts) for one in find_signatures(came_at, crashed_at, answered)]


def build_quarantine(*parts: str, began_at: float = 0.0) -> Quarantine:
    """Return a quarantine of the first length."""
    return Quarantine(
        frozenset(parts), frozenset({"c1"}), began_at - 1, began_at, FIRST_SECONDS
    )


class TestFindSignatures:
    """Parts that were open at crashes by chance must not be taken for the cause."""

    def test_two_crashes_are_not_enough(self) -> None:
        assert list_parts({"bad": {"c1", "c2"}}) == []

    def test_part_of_most_crashes_explains_those_of_the_others(self) -> None:
        suspects = {"bad": {"c1", "c2", "c3", "c4"}, "chance": {"c1", "c2", "c3"}}
        assert list_parts(suspects) == [{"bad"}]

    def test_two_causes_are_told_apart(self) -> None:
        suspects = {"a": {"c1", "c2", "c3"}, "b": {"c4", "c5", "c6"}}
        assert list_parts(suspects) == [{"a"}, {"b"}]

    def test_parts_that_cannot_be_told_apart_are_one_signature(self) -> None:
        suspects = {"lead": {"c1", "c2", "c3"}, "bad": {"c1", "c2", "c3"}}
        assert list_parts(suspects) == [{"lead", "bad"}]

    def test_part_without_any_sound_answer_is_preferred(self) -> None:
        suspects = {"lead": {"c1", "c2", "c3", "c4"}, "bad": {"c1", "c2", "c3"}}
        assert list_parts(suspects, answered={"lead"}) == [{"bad"}]

    def test_loss_of_a_data_centre_counts_as_one_crash(self) -> None:
        crashed_at = {f"c{number}": number * 0.05 for number in range(5)}
        assert list_parts({"common": set(crashed_at)}, crashed_at) == []

    def test_repeats_that_end_engines_at_once_count_each(self) -> None:
        crashed_at = {f"c{number}": number * 0.05 for number in range(3)}
        suspects = {"bad": set(crashed_at)}
        assert list_parts(suspects, crashed_at, open_seconds=0.04) == [{"bad"}]


class TestCrashHistory:
    """Evidence must be cleared by sound answers, and its memory must stay bounded."""

    def crash(self, history: CrashHistory, part: str, times) -> None:
        for at in times:
            history.add_crash(f"{part}{at}", at, (part,), at - 0.5)

    def test_sound_answer_clears_the_crashes_before_it(self) -> None:
        history = CrashHistory()
        self.crash(history, "p", (1.0, 2.0, 3.0))
        history.add_sound_answer("p", 2.5)
        assert history.count_crashes("p") == 1
        assert history.find_signatures() == []

    def test_late_report_of_a_crash_before_a_sound_answer_does_not_count(self) -> None:
        history = CrashHistory()
        history.add_sound_answer("p", 5.0)
        self.crash(history, "p", (1.0, 2.0, 3.0))
        assert history.count_crashes("p") == 0

    def test_crash_is_dated_by_its_first_report(self) -> None:
        history = CrashHistory()
        history.add_crash("c", 3.0, ("a",), 1.5)
        history.add_crash("c", 2.0, ("p",), 1.5)
        history.add_sound_answer("p", 2.5)
        assert history.count_crashes("p") == 0

    def test_old_crashes_are_forgotten(self) -> None:
        history = CrashHistory()
        self.crash(history, "p", (1.0, 2.0, 3.0))
        history.expire(MEMORY_SECONDS + 2.5)
        assert history.count_crashes("p") == 1

    def test_memory_is_bounded(self) -> None:
        history = CrashHistory()
        for number in range(2 * MAX_PARTS):
            parts = (f"p{number}", "x" * 1_000)
            history.add_crash(f"c{number}", float(number), parts, 0.0)
            history.add_sound_answer(f"s{number}", float(number))
        for kept in (history._suspects, history._sound_at, history._last_crash_at):
            assert len(kept) <= MAX_PARTS
            assert "x" * 1_000 not in kept
        assert len(history._crashed_at) <= MAX_CRASHES


class TestQuarantineList:
    """A quarantine must end, come back after one more crash, and spare sound parts."""

    def begin(self, *parts: str, now: float = 10.0) -> QuarantineList:
        quarantines = QuarantineList()
        crashes = frozenset({"c1", "c2", "c3"})
        quarantines.apply_signatures([Signature(frozenset(parts), crashes, 5.0)], now)
        return quarantines

    def test_only_prompts_with_all_parts_are_refused(self) -> None:
        quarantines = self.begin("lead", "bad")
        assert quarantines.find(("lead",), 11.0) is None
        assert quarantines.find(("lead", "bad", "other"), 11.0) is not None

    def test_quarantine_ends(self) -> None:
        quarantines = self.begin("bad")
        assert quarantines.find(("bad",), 10.0 + FIRST_SECONDS) is None

    def test_same_crashes_do_not_begin_it_again(self) -> None:
        quarantines = self.begin("bad")
        later = 11.0 + FIRST_SECONDS
        crashes = frozenset({"c1", "c2", "c3"})
        signature = Signature(frozenset({"bad"}), crashes, 5.0)
        assert quarantines.apply_signatures([signature], later) == []
        assert quarantines.find(("bad",), later) is None

    def test_one_more_crash_renews_it_for_longer(self) -> None:
        quarantines = self.begin("bad")
        now = 11.0 + FIRST_SECONDS
        assert quarantines.apply_crash("c9", ("lead", "bad"), now)
        assert quarantines.find(("bad",), now + 1.5 * FIRST_SECONDS) is not None
        for number in range(10):
            now += 2 * MAX_SECONDS
            quarantines.expire(now)
            quarantines.apply_crash(f"d{number}", ("bad",), now)
        assert all(entry.seconds <= MAX_SECONDS for entry in quarantines.entries)

    def test_crash_without_all_parts_renews_nothing(self) -> None:
        quarantines = self.begin("lead", "bad")
        now = 11.0 + FIRST_SECONDS
        assert quarantines.apply_crash("c9", ("lead",), now) == []

    def test_sound_answer_narrows_and_then_ends_it(self) -> None:
        quarantines = self.begin("lead", "bad")
        assert quarantines.apply_sound_answer("lead", 12.0) == []
        assert quarantines.find(("bad",), 12.0) is not None
        assert quarantines.apply_sound_answer("bad", 13.0)
        assert quarantines.find(("bad",), 13.0) is None

    def test_better_explanation_replaces_it(self) -> None:
        quarantines = self.begin("chance")
        crashes = frozenset({"c1", "c2", "c3", "c4"})
        signature = Signature(frozenset({"bad"}), crashes, 5.0)
        quarantines.apply_signatures([signature], 12.0)
        assert quarantines.find(("chance",), 12.0) is None
        assert quarantines.find(("bad",), 12.0) is not None

    @pytest.mark.parametrize(
        ("offered", "adopted"), [(("bad",), True), (("lead", "bad", "x"), False)]
    )
    def test_more_general_quarantine_of_a_peer_is_adopted(
        self, offered: tuple[str, ...], adopted: bool
    ) -> None:
        quarantines = self.begin("lead", "bad")
        assert quarantines.adopt(build_quarantine(*offered), 11.0) is adopted

    def test_number_is_bounded(self) -> None:
        quarantines = QuarantineList()
        for number in range(2 * MAX_QUARANTINES):
            quarantines.adopt(build_quarantine(f"p{number}"), 1.0)
        assert len(quarantines.entries) == MAX_QUARANTINES
