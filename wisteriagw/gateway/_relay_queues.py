"""Rows that a relay forwards."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.gateway._delta_queue import DeltaQueue


class RelayQueues(NamedTuple):
    """Rows queued for the next updates of a relay.

    Attributes
    ----------
    for_relays : DeltaQueue
        Rows from the VMs of the own data centre, for the other relays.
    for_served_vms : DeltaQueue
        Rows from all VMs, for the VMs of the own data centre.
    """

    for_relays: DeltaQueue
    for_served_vms: DeltaQueue
