"""State of a quota as input of a decision."""

from __future__ import annotations

from typing import NamedTuple


class QuotaView(NamedTuple):
    """State of a quota on one VM.

    Attributes
    ----------
    level : float
        Tokens that all VMs together have left; negative if they are in debt.
    rate : float
        Tokens per second by which the level rises.
    demand : float
        Tokens per second that the customer requests from all VMs.
    peak_demand, others_peak : float
        Recent maximum of this demand, and of that at the other VMs.
    part_level, part_rate : float
        Tokens of this VM's part, which counts while VMs are restricted to theirs, and
        tokens per second by which it rises.
    restricted : bool
        Whether VMs are restricted to their parts.
    """

    level: float
    rate: float
    demand: float
    peak_demand: float
    others_peak: float
    part_level: float
    part_rate: float
    restricted: bool
