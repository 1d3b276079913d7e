"""Membership as one VM sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.membership._member import Member
    from wisteriagw.membership._received_digest import ReceivedDigest
    from wisteriagw.membership._received_summary import ReceivedSummary


class MembershipState(NamedTuple):
    """Members and the information received about them.

    Attributes
    ----------
    vm, data_centre : str
        The VM whose view this is.
    incarnation : int
        Rises with every start of the process.
    started_at : float
        Start of the process.
    vm_list_digest : int
        Digest of the VM list in use.
    listed : bool
        Whether the local VM is on that list; only then does it have a vote.
    members : dict of str to Member
        All VMs on the list, the local one included.
    data_centres : tuple of str
        Data centres of the members in order of their names.
    observing_since : float
        Earliest time from which the time without contact to others is counted.
    last_tick_at : float
        Time of the last tick.
    digests : dict of str to ReceivedDigest
        By data centre; only a relay holds any.
    summaries : dict of str to ReceivedSummary
        By relay of the local data centre.
    """

    vm: str
    data_centre: str
    incarnation: int
    started_at: float
    vm_list_digest: int
    listed: bool
    members: dict[str, Member]
    data_centres: tuple[str, ...]
    observing_since: float
    last_tick_at: float
    digests: dict[str, ReceivedDigest]
    summaries: dict[str, ReceivedSummary]
