"""Input of the lease decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.leases._lease_entry import LeaseEntry
    from wisteriagw.leases._observation import Observation
    from wisteriagw.leases._process_identity import ProcessIdentity


class LeaseView(NamedTuple):
    """State of an authority and of a process that holds or wants it.

    Attributes
    ----------
    authority : str
        The authority.
    entry : LeaseEntry
        Its lease.
    start, through : int
        First and last offset that were read.
    process : ProcessIdentity
        This process.
    appends : dict of str to float
        Start of each of its own appends, by nonce.
    observation : Observation
        Since when the lease has been unchanged.
    vms : frozenset of str
        VMs on the VM list as last read.
    vms_read_at : float
        When the request for that list was sent.
    vms_through : int
        Last offset that was read before that request was sent.
    busy : bool
        Whether an order of this process may still take effect.
    stopping : bool
        Whether the process is to release the authority.
    """

    authority: str
    entry: LeaseEntry
    start: int
    through: int
    process: ProcessIdentity
    appends: dict[str, float]
    observation: Observation
    vms: frozenset[str]
    vms_read_at: float
    vms_through: int
    busy: bool
    stopping: bool
