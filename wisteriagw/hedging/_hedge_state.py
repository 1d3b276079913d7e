"""Input of the decision to hedge."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.hedging._quantiles import Quantiles


class HedgeState(NamedTuple):
    """What a VM knows when the first attempt of a request is late.

    Attributes
    ----------
    quantiles : Quantiles
        Of recent responses of the service and kind.
    server : str
        Server of the first attempt, empty before it is sent.
    candidates : int
        Servers that may take the second attempt.
    slots_in_use : float
        Part of the slots of the service that is in use, by the counts of all VMs.
    refused_at : float
        Time of the last refusal because of a queue, in seconds.
    quarantined : bool
        Whether the prompt holds parts that crash servers.
    retries_left, retries_allowed : float
        Retries of the VM's budget in the current window.
    seconds_needed, seconds_available : float
        Server seconds that the hedge may take, and that the limit has left.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    """

    quantiles: Quantiles
    server: str
    candidates: int
    slots_in_use: float
    refused_at: float
    quarantined: bool
    retries_left: float
    retries_allowed: float
    seconds_needed: float
    seconds_available: float
    deadline: float
