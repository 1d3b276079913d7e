"""Number of servers of a service that each data centre shall have."""

from __future__ import annotations

from typing import NamedTuple


class CentreTarget(NamedTuple):
    """Target of each data centre.

    Attributes
    ----------
    count : int
        Servers in each data centre.
    peak : float
        Recent peak of the demand in fully busy servers.
    reason : str
        What decided: ``peak``, ``floor``, ``unknown demand``, ``no servers``, ``new
        holder`` or ``refusals``.
    """

    count: int
    peak: float
    reason: str
