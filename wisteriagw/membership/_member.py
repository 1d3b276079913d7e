"""Member of the VM list as another VM sees it."""

from __future__ import annotations

from typing import NamedTuple

NEVER = float("-inf")


class Member(NamedTuple):
    """A VM on the VM list; all times are readings of the local clock.

    Attributes
    ----------
    vm, data_centre, host : str
        Identity, place and IP address from the VM list.
    listed_leaving, leaving, established : bool
        Whether the VM list or the VM itself reports that it is leaving, and whether the
        VM has recovered the configuration since its start.
    incarnation, seq : int
        From the last heartbeat; 0 before the first.
    last_seen_at : float
        Arrival of the last heartbeat.
    seen_by_peer_at : float
        Latest time at which a probed peer had received a heartbeat of the VM.
    proved_at : float
        Lower bound of the time at which the last heartbeat was sent.
    clock_offset, offset_at : float
        Lower bound of local minus the VM's clock, and when it was measured.
    echo_sent_at_ms, echo_received_at_ms : int
        Values that the next heartbeat to the VM echoes.
    config_revision, vm_list_digest : int
        From the last heartbeat.
    log_read_at : float
        Lower bound of the start of the VM's last read of the log to its tip.
    """

    vm: str
    data_centre: str
    host: str
    listed_leaving: bool = False
    leaving: bool = False
    established: bool = False
    incarnation: int = 0
    seq: int = 0
    last_seen_at: float = NEVER
    seen_by_peer_at: float = NEVER
    proved_at: float = NEVER
    clock_offset: float = NEVER
    offset_at: float = 0.0
    echo_sent_at_ms: int = 0
    echo_received_at_ms: int = 0
    config_revision: int = -1
    vm_list_digest: int = 0
    log_read_at: float = NEVER
