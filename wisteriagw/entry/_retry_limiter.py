"""Retry budget of an entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.retries import (
    build_budget,
    consume_retry,
    count_request,
    decide_retry,
    refill,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from wisteriagw.outcomes import Outcome
    from wisteriagw.retries import RetryDecision


class RetryLimiter:
    """Applies the retry budget that all requests of the process share."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.budget = build_budget(clock())
        self.retry_count = 0

    def count_request(self) -> None:
        """Credit the budget for a new request."""
        self.budget = count_request(refill(self.budget, self._clock()))

    def decide(
        self, outcome: Outcome, idempotent: bool, deadline: float
    ) -> RetryDecision:
        """Return whether a request is retried, and consume a retry if so."""
        now = self._clock()
        self.budget = refill(self.budget, now)
        decision = decide_retry(outcome, idempotent, self.budget, deadline, now)
        if decision.retry:
            self.budget = consume_retry(self.budget)
            self.retry_count += 1
        return decision
