"""Who exchanges messages with whom."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership._rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.membership._membership_state import MembershipState

MAX_FULL_MESH = 16
RELAYS_PER_DATA_CENTRE = 2


def is_split(state: MembershipState) -> bool:
    """Return whether only relays talk to other data centres."""
    return len(state.members) > MAX_FULL_MESH


def list_data_centres(state: MembershipState) -> list[str]:
    """Return the data centres of the VM list in order of their names."""
    return sorted({member.data_centre for member in state.members.values()})


def choose_relays(data_centre: str, vms: Iterable[str]) -> list[str]:
    """Return the relays among the available VMs of a data centre."""
    ranked = rank_names(f"relay {data_centre}", vms)
    return ranked[:RELAYS_PER_DATA_CENTRE]


def choose_pair_relay(data_centre: str, other: str, vms: Iterable[str]) -> str | None:
    """Return the VM that speaks for a data centre with one other data centre.

    Each pair of data centres has one link, and the pairs spread over both relays.
    """
    pair = " ".join(sorted((data_centre, other)))
    ranked = rank_names(f"pair {pair}", choose_relays(data_centre, vms))
    return ranked[0] if ranked else None
