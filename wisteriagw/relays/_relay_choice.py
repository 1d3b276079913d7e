"""Selection of the relays of a data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

# The second relay keeps updates flowing when the first fails without notice.
RELAYS_PER_DATA_CENTRE = 2


def choose_relays(
    data_centre: str, vms: Iterable[str], capacities: Mapping[str, float] | None = None
) -> list[str]:
    """Return the relays among the available VMs of a data centre, in rank order.

    VMs of greater capacity rank first, because relays handle more messages.
    """
    ranked = rank_names(f"relay {data_centre}", vms)
    if capacities is not None:
        ranked.sort(key=lambda vm: -capacities.get(vm, 0.0))
    return ranked[:RELAYS_PER_DATA_CENTRE]
