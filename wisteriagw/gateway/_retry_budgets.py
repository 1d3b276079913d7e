"""Budgets for repeats by service."""

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

# Windows slide and VMs come and go, so only this part of what the platform allows is
# used.
USED_PART = 0.6


class RetryBudgets:
    """Share of this VM in the repeats that all VMs may send to a service.

    The constant part of the platform's allowance is split evenly over the VMs.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, RetryBudget] = {}
        self._terms = RetryTerms()
        self.set_vms(1)

    def set_vms(self, count: int) -> None:
        """Take the number of VMs that share the allowance."""
        settings = self._settings
        share = USED_PART * settings.retry_allowance / max(1, count)
        # Half may be saved for a burst, the other half accrues over the window.
        terms = RetryTerms(
            per_request=USED_PART * settings.retry_ratio,
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
        """Take a new request for a service."""
        self._budgets[service] = count_request(self.get(service, now))

    def take(self, service: str, now: float) -> None:
        """Take a repeat."""
        self._budgets[service] = consume_retry(self.get(service, now))
