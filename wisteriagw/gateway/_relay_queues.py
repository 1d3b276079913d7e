"""Rows that a relay passes on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.gateway._delta_queue import DeltaQueue


class RelayQueues(NamedTuple):
    """What waits for the next messages of a relay.

    Attributes
    ----------
    for_relays : DeltaQueue
        Rows of the VMs of the own data centre, for the other relays.
    for_members : DeltaQueue
        Rows of all VMs, for those of the own data centre.
    """

    for_relays: DeltaQueue
    for_members: DeltaQueue
