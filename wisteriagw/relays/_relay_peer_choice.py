"""Selection of the peers of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.relays._relay_choice import choose_relays
from wisteriagw.relays._relay_peers import RelayPeers

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping


def choose_relay_peers(
    own: tuple[str, str],
    data_centres: Mapping[str, Mapping[str, float]],
    is_suspected: Callable[[str], bool],
    is_probed: Callable[[str], bool],
    served: Collection[str],
    relay_senders: Collection[str],
    selected: bool,
) -> RelayPeers:
    """Return the peers of a VM.

    A VM is a relay if it ranks among the first, and also while another VM uses it as
    one, because VMs do not all detect the failure of a relay at the same time.

    Parameters
    ----------
    own : tuple of str and str
        This VM and its data centre.
    data_centres : mapping
        Capacity by VM, by data centre.
    is_suspected : callable
        ``is_suspected(vm)`` says whether a VM is expected to answer and does not.
    is_probed : callable
        ``is_probed(vm)`` says whether a suspected VM is sent messages again, in
        addition to its substitutes.
    served : collection of str
        VMs of the own data centre that have recently sent updates to this VM.
    relay_senders : collection of str
        VMs that have recently sent updates as relays.
    selected : bool
        Whether one of them has selected this VM as a relay by its rank. Receiving
        updates is not enough: two VMs would keep each other relays forever.
    """
    vm, data_centre = own
    own_relays, probed = rank_data_centre(
        data_centre, data_centres.get(data_centre, {}), is_suspected, is_probed
    )
    relays = tuple(other for other in (*own_relays, *probed) if other != vm)
    if vm not in own_relays and not served and not selected:
        return RelayPeers(relays)
    # Only relays exchange updates with the relays of other data centres.
    selected_relays = set(relays)
    for name, capacities in data_centres.items():
        if name != data_centre:
            selected_relays.update(
                *rank_data_centre(name, capacities, is_suspected, is_probed)
            )
    reply_peers = [other for other in relay_senders if other not in selected_relays]
    served_vms = [
        other
        for other in served
        if other not in selected_relays and other not in reply_peers
    ]
    return RelayPeers(
        relays,
        True,
        tuple(sorted(selected_relays)),
        tuple(sorted(reply_peers)),
        tuple(sorted(served_vms)),
    )


def rank_data_centre(
    name: str,
    capacities: Mapping[str, float],
    is_suspected: Callable[[str], bool],
    is_probed: Callable[[str], bool],
) -> tuple[list[str], list[str]]:
    """Return the relays of a data centre, and the suspected ones to be probed."""
    available = [vm for vm in capacities if not is_suspected(vm)]
    preferred = choose_relays(name, capacities, capacities)
    return (
        choose_relays(name, available, capacities),
        [vm for vm in preferred if is_probed(vm)],
    )
