"""Mesh message: what a relay tells the VMs of its data centre."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.messages._registry import register_message


@register_message(name="FleetNews")
class FleetUpdate(NamedTuple):
    """Sent by a relay to the VMs that send it their news.

    Attributes
    ----------
    uptime : float
        Seconds since the oldest process that the sender hears of started.
    received : tuple
        Rows of VM, sequence of its last message, and seconds since that came.
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
        a server that is gone.
    heard : tuple
        Rows of VM and whether callers shall use it; empty in messages that leave them
        out.
    work : tuple
        Rows of backend server, waiting prompt tokens and streams of all VMs.
    parts, away, results : tuple
        As in ``GatewayUpdate``, of all VMs.
    """

    uptime: float
    received: tuple
    configuration_version: int
    configuration_age: float
    register_digest: int
    register_age: float
    entries: tuple = ()
    heard: tuple = ()
    work: tuple = ()
    parts: tuple = ()
    away: tuple = ()
    results: tuple = ()
