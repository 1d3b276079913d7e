"""What is proved of other VMs."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.membership._member import NEVER

PERMIT_SECONDS = 3.0
# A summary has three waits of up to 1 s behind it when it is replaced: for a heartbeat,
# for a digest and for the relay's heartbeat. It still ends before the 5 s within which
# an accepted change must be in force everywhere.
SUMMARY_SECONDS = 4.5


class Evidence(NamedTuple):
    """Proof that some VMs held a revision at a time.

    Attributes
    ----------
    votes : int
        Number of VMs that count towards a majority: 0 for a VM that is not established
        or has another VM list, more than 1 for a summary.
    proved_at : float
        Time on the own clock before which the proof was not given.
    revision : int
        Highest revision that was named.
    log_read_at : float
        Time before which the VM's last read of the log to its tip did not start.
    valid_seconds : float
        Age up to which the proof counts.
    """

    votes: int
    proved_at: float
    revision: int
    log_read_at: float = NEVER
    valid_seconds: float = PERMIT_SECONDS
