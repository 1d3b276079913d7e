"""Topology of the mesh and choice of relays."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.relays import choose_relays

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from wisteriagw.membership._membership_state import MembershipState

MAX_FULL_MESH = 16


def uses_relays(state: MembershipState) -> bool:
    """Return whether only relays exchange messages with other data centres."""
    return len(state.members) > MAX_FULL_MESH


def choose_pair_relay(
    data_centre: str, other: str, data_centres: Sequence[str], vms: Iterable[str]
) -> str | None:
    """Return the relay of a data centre for one other data centre.

    Each pair of data centres has one link. Links are assigned to the relays round-robin
    in the order of the data centres; a hash would give one of two relays up to 14 of 20
    links.
    """
    relays = choose_relays(data_centre, vms)
    if not relays:
        return None
    return relays[data_centres.index(other) % len(relays)]
