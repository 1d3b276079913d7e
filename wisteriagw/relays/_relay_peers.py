"""Peers that a VM sends updates to."""

from __future__ import annotations

from typing import NamedTuple


class RelayPeers(NamedTuple):
    """Peers of one VM by the kind of update they receive.

    Attributes
    ----------
    relays : tuple of str
        Relays of the own data centre without this VM, in rank order.
    is_relay : bool
        Whether this VM acts as a relay.
    selected_relays : tuple of str
        Relays of all data centres that this VM, as a relay, sends to.
    reply_peers : tuple of str
        Other VMs that send to this one as relays; they receive replies.
    served_vms : tuple of str
        VMs of the own data centre that this VM, as a relay, forwards updates to.
    """

    relays: tuple[str, ...] = ()
    is_relay: bool = False
    selected_relays: tuple[str, ...] = ()
    reply_peers: tuple[str, ...] = ()
    served_vms: tuple[str, ...] = ()

    def list_all(self) -> set[str]:
        """Return all peers that receive updates."""
        return {
            *self.relays,
            *self.selected_relays,
            *self.reply_peers,
            *self.served_vms,
        }
