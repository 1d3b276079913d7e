"""Retry budgets by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.retries import (
    RetryTerms,
    build_budget,
    consume_retry,
    count_request,
    refill,
)

if TYPE_CHECKING:
    from wisteriagw.platform import NodeSettings
    from wisteriagw.retries import RetryBudget

# The platform counts in sliding windows and the number of VMs changes, so only this
# fraction of its allowance is used.
ALLOWANCE_FRACTION = 0.6


class RetryBudgets:
    """Share of this VM in the retries that all VMs may send to a service.

    The constant part of the platform's allowance is split evenly over the VMs.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._terms = RetryTerms()
        self.set_vm_count(1)

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share the allowance."""
        settings = self._settings
        share = ALLOWANCE_FRACTION * settings.retry_allowance / max(1, count)
        # Half may be saved for a burst, the other half accrues over the window.
        terms = RetryTerms(
            per_request=ALLOWANCE_FRACTION * settings.retry_ratio,
            per_second=share / 2 / settings.retry_window,
            max_saved=max(1.0, share / 2),
        )
        if terms == self._terms:
            return
        self._terms = terms
        for service, budget in self._budgets.items():
            self._budgets[service] = budget._replace(terms=terms)

    def get(self, service: str, now: float) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = build_budget(now, self._terms)
        return refill(budget, now)

    def count_request(self, service: str, now: float) -> None:
        """Add the retries that a new request earns."""
        self._budgets[service] = count_request(self.get(service, now))

    def consume(self, service: str, now: float) -> None:
        """Subtract one retry from the budget of a service."""
        self._budgets[service] = consume_retry(self.get(service, now))
