"""Evidence about other VMs."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.membership._member import NEVER

PERMIT_SECONDS = 3.0
# A summary is up to three intervals of 1 s old when it is replaced: those of the
# heartbeat, of the digest and of the relay's heartbeat. It expires before the 5 s
# within which an accepted change must be in force everywhere.
SUMMARY_SECONDS = 4.5


class Evidence(NamedTuple):
    """Proof that some VMs held a revision at a time.

    Attributes
    ----------
    votes : int
        Number of VMs that count towards a majority: 0 for a VM that is not established
        or has another VM list, more than 1 for a summary.
    proved_at : float
        Lower bound, on the local clock, of the time at which the proof was sent.
    revision : int
        Highest revision that was reported.
    log_read_at : float
        Lower bound of the start of the VM's last read of the log to its tip.
    valid_seconds : float
        Age up to which the proof counts.
    """

    votes: int
    proved_at: float
    revision: int
    log_read_at: float = NEVER
    valid_seconds: float = PERMIT_SECONDS
