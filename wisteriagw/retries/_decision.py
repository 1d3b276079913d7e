"""Retry decision by the outcome of the last attempt."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.outcomes import Done, FailedNotRun, MayHaveRun, RefusedNotRun
from wisteriagw.retries._retry_budget import RetryBudget, refill
from wisteriagw.retries._retry_decision import RetryDecision


@singledispatch
def decide_retry(
    outcome: Any, idempotent: bool, budget: RetryBudget, deadline: float, now: float
) -> RetryDecision:
    """Return whether a request is retried after an outcome.

    Parameters
    ----------
    outcome : Done, RefusedNotRun, FailedNotRun or MayHaveRun
        Outcome of the last attempt.
    idempotent : bool
        Whether the request may run more than once.
    budget : RetryBudget
        Remaining retries of the process.
    deadline, now : float
        Time at which the caller stops waiting, and the time now, in seconds.
    """
    raise TypeError(f"no retry rule for {type(outcome).__name__}")


@decide_retry.register
def _(
    outcome: Done, idempotent: bool, budget: RetryBudget, deadline: float, now: float
) -> RetryDecision:
    return RetryDecision(False, "", "answered")


@decide_retry.register
def _(
    outcome: RefusedNotRun,
    idempotent: bool,
    budget: RetryBudget,
    deadline: float,
    now: float,
) -> RetryDecision:
    return _decide_within_bounds("overloaded", budget, deadline, now)


@decide_retry.register
def _(
    outcome: FailedNotRun,
    idempotent: bool,
    budget: RetryBudget,
    deadline: float,
    now: float,
) -> RetryDecision:
    return _decide_within_bounds("no_backend_server", budget, deadline, now)


@decide_retry.register
def _(
    outcome: MayHaveRun,
    idempotent: bool,
    budget: RetryBudget,
    deadline: float,
    now: float,
) -> RetryDecision:
    if not idempotent:
        return RetryDecision(
            False, "may_have_run", "the request may have run and is not idempotent"
        )
    return _decide_within_bounds("may_have_run", budget, deadline, now)


def _decide_within_bounds(
    code: str, budget: RetryBudget, deadline: float, now: float
) -> RetryDecision:
    if now >= deadline:
        return RetryDecision(False, "deadline", "the deadline has passed")
    if refill(budget, now).retries < 1.0:
        return RetryDecision(False, code, "the retry budget is exhausted")
    return RetryDecision(True, code, "another backend server may answer")
