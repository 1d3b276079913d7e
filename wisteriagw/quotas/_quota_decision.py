"""Decision on a request of a customer with a quota."""

from __future__ import annotations

from typing import NamedTuple


class QuotaDecision(NamedTuple):
    """Decision on a request.

    Attributes
    ----------
    admitted : bool
        Whether the request may run.
    retry_after : float
        Seconds after which a refused caller shall come back.
    reason : str
        ``spent`` (all VMs are in debt) or ``part`` (only this VM is); empty if the
        request is admitted.
    """

    admitted: bool
    retry_after: float = 0.0
    reason: str = ""
