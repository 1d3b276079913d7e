"""A short run of the soak with fixed seeds."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tests.soak._caller import Ended, judge_answer
from tests.soak._checks import check_usage, list_duty_faults, list_faults
from wisteriagw.connections import ResponseHead

RUN_SECONDS = 90


def end(kind: str, status: int, **changes) -> Ended:
    """Return a request that has ended."""
    one = Ended("r1", kind, "t-1", 10.0, 0.1, status, "")
    return one._replace(**changes)


def judge(one: Ended, runs: int, withdrawn=None) -> list[str]:
    """Return the faults of one request that ran so often."""
    seen = {"runs": [["r1", "t-1", 10.0]] * runs, "reports": []}
    return list_faults([one], seen, withdrawn or {}, False)


class TestChecks:
    """Each check of the soak must be able to fail."""

    @pytest.mark.parametrize(
        ("one", "runs", "broken"),
        [
            (end("unsafe", 200), 1, False),
            (end("unsafe", 502), 2, True),
            (end("ask", 0), 2, True),
            (end("safe", 200), 2, False),
            (end("long", 200), 3, True),
            (end("unsafe", 503), 1, True),
            (end("unsafe", 503), 0, False),
            (end("unsafe", 504), 1, False),
            (end("safe", 200, customer="t-2"), 1, True),
            (end("safe", 200, fault="wrong body"), 1, True),
            (end("safe", 0, seconds=5.5), 1, True),
        ],
    )
    def test_requests(self, one: Ended, runs: int, broken: bool) -> None:
        assert bool(judge(one, runs)) is broken

    def test_withdrawn_key(self) -> None:
        assert judge(end("safe", 200), 1, {"t-1": 4.0})
        assert not judge(end("safe", 200), 1, {"t-1": 6.0})

    @pytest.mark.parametrize(
        ("calls", "broken"),
        [
            ([("a", 1, 0.0), ("a", 1, 1.0), ("b", 2, 5.0)], False),
            ([("a", 2, 0.0), ("b", 1, 9.0)], True),
            ([("a", 1, 0.0), ("b", 2, 1.0), ("a", 3, 2.0)], True),
            ([("a", 1, 0.0), ("b", 2, 4.0), ("a", 3, 8.0)], False),
        ],
    )
    def test_holders(self, calls, broken: bool) -> None:
        fields = {"window_id": 1, "counts": {}}
        reports = [["/usage", *call, fields] for call in calls]
        assert bool(list_duty_faults(reports)) is broken

    def test_different_reports_of_a_window(self) -> None:
        reports = [
            ["/usage", "a", 1, float(n), {"window_id": 1, "counts": {"t": n}}]
            for n in (1, 2)
        ]
        assert list_duty_faults(reports)

    def test_usage_that_is_missing(self) -> None:
        seen = {"runs": [[f"r{n}", "t", 0.0] for n in range(20)], "reports": []}
        assert check_usage([], seen, False)
        assert not check_usage([], seen, True)

    @pytest.mark.parametrize(
        ("stamp", "body", "broken"),
        [
            (b"s-r1", b"done r1", False),
            (b"s-r2", b"done r1", True),
            (b"s-r1", b"done r", True),
        ],
    )
    def test_answers(self, stamp: bytes, body: bytes, broken: bool) -> None:
        head = ResponseHead(200, ((b"x-wisteriagw-server-stamp", stamp),))
        assert bool(judge_answer("r1", "safe", head, body)) is broken


class TestSoak:
    """The real programs must keep the promises under overlapping faults."""

    @pytest.mark.parametrize("seed", [1])
    def test_seed(self, seed: int) -> None:
        arguments = ["--seed", str(seed), "--seconds", "5", "--settle", "4"]
        done = subprocess.run(
            [sys.executable, "-m", "tests.soak", *arguments],
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
            check=False,
        )
        assert done.returncode == 0, done.stdout + done.stderr
