"""Retry budgets by service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.retries import RetryBudget, RetryTerms, RetryWindow

if TYPE_CHECKING:
    from wisteriagw.platform import NodeSettings

# The number of VMs changes, and the requests of a window at the platform differ from
# those of a window here, so only this fraction of the platform's allowance is used.
ALLOWANCE_FRACTION = 0.6
# The share of a VM allows at least this many retries in a window, or the VMs of a large
# deployment could never send one.
MIN_RETRIES = 1.0


class RetryBudgets:
    """Share of this VM in the retries that all VMs may send to a service.

    The constant part of the platform's allowance is split evenly over the VMs.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._windows: dict[str, RetryWindow] = {}
        self._constant = MIN_RETRIES
        self.set_vm_count(1)

    def set_vm_count(self, count: int) -> None:
        """Set the number of VMs that share the allowance."""
        share = ALLOWANCE_FRACTION * self._settings.retry_allowance / max(1, count)
        self._constant = max(MIN_RETRIES, share)

    def get(self, service: str, now: float) -> RetryBudget:
        """Return the budget of a service."""
        remaining = self._get_window(service).compute_remaining(
            ALLOWANCE_FRACTION * self._settings.retry_ratio, self._constant, now
        )
        return RetryBudget(remaining, now, RetryTerms(0.0, 0.0, max(0.0, remaining)))

    def get_allowed(self, service: str, now: float) -> float:
        """Return the retries of the current window, used ones included."""
        ratio = ALLOWANCE_FRACTION * self._settings.retry_ratio
        return self._get_window(service).compute_allowed(ratio, self._constant, now)

    def count_request(self, service: str, now: float) -> None:
        """Add the retries that a new request earns."""
        self._get_window(service).count_request(now)

    def consume(self, service: str, now: float) -> None:
        """Subtract one retry from the budget of a service."""
        self._get_window(service).count_retry(now)

    def _get_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(self._settings.retry_window)
        return window
