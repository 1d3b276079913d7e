"""Mesh message: state update from a relay to other relays."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message(name="RelayNews")
class RelayUpdate(NamedTuple):
    """Sent by a relay to other relays, for all VMs of its data centre.

    Attributes
    ----------
    data_centre : str
        Data centre of the sender.
    selected : bool
        Whether the sender has selected the receiver as a relay by its rank.
    incarnation : str
        Process that sends the message.
    uptime : float
        Seconds since the start of the oldest process that is known to the sender.
    live_vms : tuple
        Rows of VM, whether callers shall use it, and seconds since it was last seen,
        of the data centre; empty in messages that omit them.
    work : tuple
        Rows of backend server, waiting prompt tokens and streams of the data centre.
    parts, unavailable, results : tuple
        As in ``GatewayUpdate``, of the VMs whose first relay is the sender.
    usage : tuple
        Rows of usage of the sender, if no other VM of its data centre stores them.
    configuration_version : int
        Version that the sender has in force; 0 if none.
    era : int
        Newest era of the store that the sender knows.
    sums : tuple
        Rows of table, key and numbers, summed over the data centre.
    """

    data_centre: str
    selected: bool
    incarnation: str
    uptime: float
    live_vms: tuple = ()
    work: tuple = ()
    parts: tuple = ()
    unavailable: tuple = ()
    results: tuple = ()
    usage: tuple = ()
    configuration_version: int = 0
    era: int = 0
    sums: tuple = ()
