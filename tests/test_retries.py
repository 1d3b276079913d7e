"""Tests of the retry decisions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.retries import (
    Attempts,
    RetryBudget,
    build_budget,
    consume_retry,
    count_request,
    decide_retry,
    record_attempt,
    refill,
)

FULL = build_budget(0.0)
EMPTY = RetryBudget(0.0, 100.0)


class TestDecideRetry:
    """Guards against a second run of a call and against unbounded retries."""

    @pytest.mark.parametrize(
        ("outcome", "idempotent", "budget", "now", "retry", "code"),
        [
            (Done(500, b""), True, FULL, 1, False, ""),
            (FailedNotRun("x"), False, FULL, 1, True, "no_backend_server"),
            (RefusedNotRun("overloaded", "x"), False, FULL, 1, True, "overloaded"),
            (MayHaveRun("x"), False, FULL, 1, False, "may_have_run"),
            (MayHaveRun("x"), True, FULL, 1, True, "may_have_run"),
            (FailedNotRun("x"), True, FULL, 100, False, "deadline"),
            (MayHaveRun("x"), True, FULL, 100, False, "deadline"),
            (FailedNotRun("x"), True, EMPTY, 1, False, "no_backend_server"),
        ],
    )
    def test_table(self, outcome, idempotent, budget, now, retry, code) -> None:
        decision = decide_retry(outcome, idempotent, budget, 100.0, float(now))
        assert (decision.retry, decision.code) == (retry, code)

    def test_request_may_have_run_if_one_attempt_may_have_run(self) -> None:
        attempts = record_attempt(Attempts(), "a", MayHaveRun("lost"))
        attempts = record_attempt(attempts, "b", FailedNotRun("refused"))
        assert attempts == Attempts(("a", "b"), True, lost_servers=1)

    def test_request_that_lost_two_servers_goes_to_no_third(self) -> None:
        attempts = record_attempt(Attempts(), "a", MayHaveRun("lost"))
        attempts = record_attempt(attempts, "b", RefusedNotRun("overloaded", "full"))
        assert attempts.may_go_on
        assert not record_attempt(attempts, "c", MayHaveRun("lost")).may_go_on


class TestRetryBudget:
    """Guards against retries that amplify an overload."""

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.tuples(st.floats(0, 2), st.integers(0, 20)), max_size=60))
    def test_retries_stay_within_the_rates(self, turns) -> None:
        budget, now, requests, retries = build_budget(0.0), 0.0, 0, 0
        for elapsed, count in turns:
            now += elapsed
            for _ in range(count):
                requests += 1
                budget = count_request(refill(budget, now))
                if decide_retry(FailedNotRun("x"), True, budget, 1e9, now).retry:
                    budget = consume_retry(budget)
                    retries += 1
        assert retries <= 30 + 0.1 * requests + 3 * now + 1e-6
