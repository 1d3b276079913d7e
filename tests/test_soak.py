"""Tests of the checks of the soak, and a short soak with a fixed seed."""

from __future__ import annotations

import subprocess
import sys

import pytest

from tests.soak._caller import CompletedRequest, check_answer
from tests.soak._checks import check_usage, list_duty_violations, list_violations
from wisteriagw.connections import ResponseHead

RUN_SECONDS = 90


def build_completed(kind: str, status: int, **changes) -> CompletedRequest:
    """Return a completed request."""
    request = CompletedRequest("r1", kind, "t-1", 10.0, 0.1, status, "")
    return request._replace(**changes)


def list_request_violations(
    request: CompletedRequest, runs: int, withdrawn=None
) -> list[str]:
    """Return the violations of one request that ran a number of times."""
    seen = {"runs": [["r1", "t-1", 10.0]] * runs, "reports": []}
    return list_violations([request], seen, withdrawn or {}, False)


class TestChecks:
    """Guards against checks of the soak that cannot fail."""

    @pytest.mark.parametrize(
        ("completed", "runs", "violated"),
        [
            (build_completed("unsafe", 200), 1, False),
            (build_completed("unsafe", 502), 2, True),
            (build_completed("ask", 0), 2, True),
            (build_completed("safe", 200), 2, False),
            (build_completed("long", 200), 3, True),
            (build_completed("unsafe", 503), 1, True),
            (build_completed("unsafe", 503), 0, False),
            (build_completed("unsafe", 504), 1, False),
            (build_completed("safe", 200, customer="t-2"), 1, True),
            (build_completed("safe", 200, violation="wrong body"), 1, True),
            (build_completed("safe", 0, seconds=5.5), 1, True),
        ],
    )
    def test_requests(
        self, completed: CompletedRequest, runs: int, violated: bool
    ) -> None:
        assert bool(list_request_violations(completed, runs)) is violated

    def test_withdrawn_key(self) -> None:
        assert list_request_violations(build_completed("safe", 200), 1, {"t-1": 4.0})
        assert not list_request_violations(
            build_completed("safe", 200), 1, {"t-1": 6.0}
        )

    @pytest.mark.parametrize(
        ("calls", "violated"),
        [
            ([("a", 1, 0.0), ("a", 1, 1.0), ("b", 2, 5.0)], False),
            ([("a", 2, 0.0), ("b", 1, 9.0)], True),
            ([("a", 1, 0.0), ("b", 2, 1.0), ("a", 3, 2.0)], True),
            ([("a", 1, 0.0), ("b", 2, 4.0), ("a", 3, 8.0)], False),
        ],
    )
    def test_holders(self, calls, violated: bool) -> None:
        fields = {"window_id": 1, "counts": {}}
        reports = [["/usage", *call, fields] for call in calls]
        assert bool(list_duty_violations(reports)) is violated

    def test_different_reports_of_a_window(self) -> None:
        reports = [
            ["/usage", "a", 1, float(n), {"window_id": 1, "counts": {"t": n}}]
            for n in (1, 2)
        ]
        assert list_duty_violations(reports)

    def test_usage_that_is_missing(self) -> None:
        seen = {"runs": [[f"r{n}", "t", 0.0] for n in range(20)], "reports": []}
        assert check_usage([], seen, False)
        assert not check_usage([], seen, True)

    @pytest.mark.parametrize(
        ("stamp", "body", "violated"),
        [
            (b"s-r1", b"done r1", False),
            (b"s-r2", b"done r1", True),
            (b"s-r1", b"done r", True),
        ],
    )
    def test_answers(self, stamp: bytes, body: bytes, violated: bool) -> None:
        head = ResponseHead(200, ((b"x-wisteriagw-server-stamp", stamp),))
        assert bool(check_answer("r1", "safe", head, body)) is violated


class TestSoak:
    """Guards against programs that violate a guarantee under overlapping faults."""

    @pytest.mark.parametrize(("seed", "restores"), [(1, 0), (2, 2)])
    def test_seed(self, seed: int, restores: int) -> None:
        arguments = ["--seed", str(seed), "--seconds", "5", "--settle", "4"]
        arguments += ["--restores", str(restores)]
        done = subprocess.run(
            [sys.executable, "-m", "tests.soak", *arguments],
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
            check=False,
        )
        assert done.returncode == 0, done.stdout + done.stderr
