"""Excess over a quota that the platform accepts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.quotas._customer_quota import CustomerQuota


class QuotaTolerance(NamedTuple):
    """Excess that the platform accepts in a window.

    Attributes
    ----------
    window : float
        Length of the window in seconds; 0 where the platform states none.
    over : float
        Accepted fraction of the quota.
    slack : float
        Accepted constant number of tokens.
    """

    window: float = 0.0
    over: float = 0.0
    slack: float = 0.0

    def find_excess(self, quota: CustomerQuota) -> float:
        """Return the tokens beyond the quota that may be admitted in a window."""
        return self.over * (quota.rate * self.window + quota.burst) + self.slack
