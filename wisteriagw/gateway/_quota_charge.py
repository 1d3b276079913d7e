"""What a request takes from the quota of its customer."""

from __future__ import annotations

from typing import NamedTuple


class QuotaCharge(NamedTuple):
    """Result of the check of a request against the quota of its customer.

    Attributes
    ----------
    admitted : bool
        Whether the request may run.
    customer : str
        Customer whose quota was charged; empty if there is none.
    cost : float
        Tokens (or requests) that were taken from the quota.
    retry_after : float
        Seconds after which a refused caller shall come back.
    """

    admitted: bool
    customer: str = ""
    cost: float = 0.0
    retry_after: float = 0.0
