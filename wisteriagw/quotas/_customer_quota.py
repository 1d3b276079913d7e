"""Quota of a customer."""

from __future__ import annotations

from typing import NamedTuple


class CustomerQuota(NamedTuple):
    """Limit on the requests of a customer, over all VMs together.

    Attributes
    ----------
    rate : float
        Tokens (or requests) per second.
    burst : float
        Tokens (or requests) that may be used at once after a pause.
    in_tokens : bool
        Whether a request costs its tokens; otherwise each request costs 1.
    uncached_tokens : float
        Cost in tokens of a request that does not state its tokens.
    """

    rate: float
    burst: float
    in_tokens: bool = False
    uncached_tokens: float = 0.0


def find_cost(quota: CustomerQuota, tokens: int | None) -> float:
    """Return what a request costs.

    Parameters
    ----------
    quota : CustomerQuota
        Quota of the request's customer.
    tokens : int or None
        Prompt tokens and bound on generated tokens; None if the request states none.
    """
    if not quota.in_tokens:
        return 1.0
    return quota.uncached_tokens if tokens is None else float(tokens)
