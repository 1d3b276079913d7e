"""Choice of the peers of a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.relays._choice import choose_relays
from wisteriagw.relays._links import Links

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping


def choose_links(
    own: tuple[str, str],
    centres: Mapping[str, Mapping[str, float]],
    is_silent: Callable[[str], bool],
    is_probed: Callable[[str], bool],
    served: Collection[str],
    speakers: Collection[str],
    addressed: bool,
) -> Links:
    """Return the peers of a VM.

    A VM is a relay if it ranks first, and also while another VM takes it for one: after
    the loss of a relay not all VMs learn of it at the same time.

    Parameters
    ----------
    own : tuple of str and str
        This VM and its data centre.
    centres : mapping
        Capacity by VM, by data centre.
    is_silent : callable
        ``is_silent(vm)`` says whether a VM was asked and does not answer.
    is_probed : callable
        ``is_probed(vm)`` says whether a silent VM is tried again, which it is beside
        those that stand in for it.
    served : collection of str
        VMs of the own data centre that have sent their news lately.
    speakers : collection of str
        VMs that have sent news as relays lately.
    addressed : bool
        Whether one of them has chosen this VM as a relay by its rank. Being spoken to
        is not enough: two VMs would keep each other relays for good.
    """
    vm, data_centre = own
    own_relays, probed = rank_centre(
        data_centre, centres.get(data_centre, {}), is_silent, is_probed
    )
    relays = tuple(other for other in (*own_relays, *probed) if other != vm)
    if vm not in own_relays and not served and not addressed:
        return Links(relays)
    # Only a relay has to know those of the other data centres.
    chosen = set(relays)
    for name, capacities in centres.items():
        if name != data_centre:
            chosen.update(*rank_centre(name, capacities, is_silent, is_probed))
    answered = [other for other in speakers if other not in chosen]
    members = [
        other for other in served if other not in chosen and other not in answered
    ]
    return Links(
        relays,
        True,
        tuple(sorted(chosen)),
        tuple(sorted(answered)),
        tuple(sorted(members)),
    )


def rank_centre(
    name: str,
    capacities: Mapping[str, float],
    is_silent: Callable[[str], bool],
    is_probed: Callable[[str], bool],
) -> tuple[list[str], list[str]]:
    """Return the relays of a data centre, and the silent ones that are tried again."""
    available = [vm for vm in capacities if not is_silent(vm)]
    usual = choose_relays(name, capacities, capacities)
    return (
        choose_relays(name, available, capacities),
        [vm for vm in usual if is_probed(vm)],
    )
