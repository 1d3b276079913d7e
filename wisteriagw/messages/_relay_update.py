"""Mesh message: what a relay tells other relays."""

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
    chosen : bool
        Whether the sender takes the receiver for a relay by its rank.
    incarnation : str
        Process that sends the message.
    uptime : float
        Seconds since the oldest process that the sender hears of started.
    heard : tuple
        Rows of VM and whether callers shall use it, of the data centre; empty in
        messages that leave them out.
    work : tuple
        Rows of backend server, waiting prompt tokens and streams of the data centre.
    parts, away, results : tuple
        As in ``GatewayUpdate``, of the VMs that send theirs to this relay first.
    usage : tuple
        Rows of usage of the sender, if no other VM of its data centre keeps them.
    """

    data_centre: str
    chosen: bool
    incarnation: str
    uptime: float
    heard: tuple = ()
    work: tuple = ()
    parts: tuple = ()
    away: tuple = ()
    results: tuple = ()
    usage: tuple = ()
