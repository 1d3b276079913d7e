"""Usage of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.gateway._usage_counter import UsageCounter
    from wisteriagw.routes import Customer


class RequestUsage:
    """Counts a request once, however many attempts of it run."""

    def __init__(self, counter: UsageCounter, customer: Customer | None) -> None:
        self._counter = counter
        self._customer = customer
        self._counted = False

    def count(self) -> None:
        """Count the request, because a server runs it."""
        if not self._counted and self._customer is not None:
            self._counted = True
            self._counter.count(self._customer.name)
