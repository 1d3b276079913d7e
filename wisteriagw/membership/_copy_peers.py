"""Choice of the peers that store copies of usage partials."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.membership._member import Member

COPY_COUNT = 2


def choose_copy_peers(
    vm: str, data_centre: str, available: Iterable[Member]
) -> list[str]:
    """Return the peers for a VM's copies, preferably in other data centres."""
    places = {member.vm: member.data_centre for member in available}
    places.pop(vm, None)
    local = {name for name, place in places.items() if place == data_centre}
    ranked = rank_names(f"usage/{vm}", places)
    # The sort is stable, so each half keeps its rendezvous order.
    return sorted(ranked, key=local.__contains__)[:COPY_COUNT]
