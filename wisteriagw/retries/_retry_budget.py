"""Bound on the retries of one process."""

from __future__ import annotations

from typing import NamedTuple

RETRIES_PER_REQUEST = 0.1
RETRIES_PER_SECOND = 3.0
# Ten seconds of the constant rate: a burst after the loss of one backend server passes,
# and an overload that lasts does not grow by more than the rates above.
MAX_SAVED_RETRIES = 30.0


class RetryBudget(NamedTuple):
    """Retries that are left, as of a time in seconds."""

    retries: float
    updated_at: float


def build_budget(now: float) -> RetryBudget:
    """Return a full budget."""
    return RetryBudget(MAX_SAVED_RETRIES, now)


def refill(budget: RetryBudget, now: float) -> RetryBudget:
    """Return the budget with what the time since its last update adds."""
    elapsed = max(0.0, now - budget.updated_at)
    retries = budget.retries + elapsed * RETRIES_PER_SECOND
    return RetryBudget(min(retries, MAX_SAVED_RETRIES), max(now, budget.updated_at))


def count_request(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one new request."""
    retries = min(budget.retries + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)
    return budget._replace(retries=retries)


def take_retry(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one retry."""
    return budget._replace(retries=budget.retries - 1.0)
