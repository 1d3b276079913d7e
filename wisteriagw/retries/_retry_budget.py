"""Token bucket that bounds the retries of one process."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.retries._retry_terms import RetryTerms

DEFAULT_TERMS = RetryTerms()


class RetryBudget(NamedTuple):
    """Remaining retries, as of a time in seconds."""

    retries: float
    updated_at: float
    terms: RetryTerms = DEFAULT_TERMS


def build_budget(now: float, terms: RetryTerms = DEFAULT_TERMS) -> RetryBudget:
    """Return a full budget."""
    return RetryBudget(terms.max_saved, now, terms)


def refill(budget: RetryBudget, now: float) -> RetryBudget:
    """Return the budget with the retries that accrued since its last update."""
    elapsed = max(0.0, now - budget.updated_at)
    retries = budget.retries + elapsed * budget.terms.per_second
    return budget._replace(
        retries=min(retries, budget.terms.max_saved),
        updated_at=max(now, budget.updated_at),
    )


def count_request(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one new request."""
    terms = budget.terms
    retries = min(budget.retries + terms.per_request, terms.max_saved)
    return budget._replace(retries=retries)


def consume_retry(budget: RetryBudget) -> RetryBudget:
    """Return the budget after one retry."""
    return budget._replace(retries=budget.retries - 1.0)
