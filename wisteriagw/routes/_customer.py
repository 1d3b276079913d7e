"""Customer in the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.quotas import CustomerQuota


class Customer(NamedTuple):
    """Customer for whom a request runs.

    Attributes
    ----------
    name : str
        Name that is passed to backend servers.
    priority : int or None
        Rank that overrides the route's; None if there is none.
    quota : CustomerQuota or None
        Limit on the customer's requests; None if there is none.
    """

    name: str
    priority: int | None = None
    quota: CustomerQuota | None = None
