"""Mesh message: state update from a relay to the VMs of its data centre."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message(name="FleetNews")
class FleetUpdate(NamedTuple):
    """Sent by a relay to the VMs that send it their updates.

    Attributes
    ----------
    uptime : float
        Seconds since the start of the oldest process that is known to the sender.
    received : tuple
        Rows of VM, sequence number of its last message, and seconds since its receipt.
    configuration_version : int
        Version that the sender has in force; 0 if none.
    configuration_age : float
        Seconds since the start of the sender's last read of the configuration.
    register_digest : int
        Digest of the sender's backend servers.
    register_age : float
        Seconds since the start of the sender's last read of the register.
    entries : tuple
        Rows of offset, backend server and entry that changed; the entry is empty for
        a server that was removed.
    live_vms : tuple
        Rows of VM, whether callers shall use it, and seconds since it was last seen;
        empty in messages that omit them.
    work : tuple
        Rows of backend server, waiting prompt tokens and streams of all VMs.
    parts, unavailable, results : tuple
        As in ``GatewayUpdate``, of all VMs.
    era : int
        Era of the store to which the offsets belong.
    sums : tuple
        Rows of table, key and numbers, summed over all VMs.
    usage_stored : tuple
        Rows of process, usage window and digest of counts of the receiver that the
        sender has stored.
    """

    uptime: float
    received: tuple
    configuration_version: int
    configuration_age: float
    register_digest: int
    register_age: float
    entries: tuple = ()
    live_vms: tuple = ()
    work: tuple = ()
    parts: tuple = ()
    unavailable: tuple = ()
    results: tuple = ()
    era: int = 0
    sums: tuple = ()
    usage_stored: tuple = ()
