"""What a VM knows of a customer's requests at the other VMs."""

from __future__ import annotations

from typing import NamedTuple


class OtherVms(NamedTuple):
    """Use of a quota by the other VMs, as they report it.

    Attributes
    ----------
    admitted : float
        Rate of the admitted requests in tokens per second. It may be negative for a
        while, when tokens were returned.
    demand : float
        Rate of all requests, admitted or not, in tokens per second.
    """

    admitted: float = 0.0
    demand: float = 0.0
