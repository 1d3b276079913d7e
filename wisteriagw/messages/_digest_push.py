"""Mesh message: summary of a data centre."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message
class DigestPush(NamedTuple):
    """Sent once a second from a relay to the relay of another data centre.

    Attributes
    ----------
    data_centre : str
        The data centre that is summarised.
    sent_at_ms : int
        Reading of the sender's clock in milliseconds, rounded down.
    vm_list_digest : int
        VM list under which the VMs were counted.
    count : int
        VMs that are established, share this VM list and were seen recently.
    lowest_revision, highest_revision : int
        Lowest revision of the configuration that any counted VM holds, and highest
        that any VM there holds.
    age_ms : int
        Greatest age of the state of any counted VM, in milliseconds.
    absent : tuple of str
        VMs there that callers are not sent to: failed, suspected or leaving.
    uncounted : tuple of str
        VMs there that are not counted.
    departures : tuple
        As in ``Heartbeat``.
    """

    data_centre: str
    sent_at_ms: int
    vm_list_digest: int
    count: int
    lowest_revision: int
    highest_revision: int
    age_ms: int
    absent: tuple = ()
    uncounted: tuple = ()
    departures: tuple = ()
