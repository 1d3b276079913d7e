"""Peers that a VM sends to."""

from __future__ import annotations

from typing import NamedTuple


class Links(NamedTuple):
    """Peers of one VM by what they get.

    Attributes
    ----------
    relays : tuple of str
        Relays of the own data centre, this VM left out, the first one first.
    acting : bool
        Whether this VM passes messages on for others.
    chosen : tuple of str
        Relays everywhere that this VM, as a relay, exchanges messages with.
    speakers : tuple of str
        Other VMs that speak to this one as relays, and are answered.
    members : tuple of str
        VMs of the own data centre that this VM, as a relay, tells of the rest.
    """

    relays: tuple[str, ...] = ()
    acting: bool = False
    chosen: tuple[str, ...] = ()
    speakers: tuple[str, ...] = ()
    members: tuple[str, ...] = ()

    def list_peers(self) -> set[str]:
        """Return all peers that get messages."""
        return {*self.relays, *self.chosen, *self.speakers, *self.members}
