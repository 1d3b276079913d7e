"""Choice of the entry addresses for a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.rendezvous import rank_names

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.membership._member import Member

MAX_ADDRESSES = 8
MAX_LOCAL_ADDRESSES = 5


def choose_entry_vms(
    caller: str, data_centre: str, available: Iterable[Member]
) -> list[Member]:
    """Return the VMs for a caller in the order in which it should try them.

    The local data centre comes first. Within a data centre the rendezvous order by the
    caller's address spreads callers evenly, also over the VMs that are left when one
    is lost. At least three of the eight addresses are from other data centres if these
    have so many VMs, so that the answer stays usable when the local one is lost.
    """
    members = {member.vm: member for member in available}
    local = [vm for vm, member in members.items() if member.data_centre == data_centre]
    remote = [vm for vm, member in members.items() if member.data_centre != data_centre]
    local_ranked = rank_names(caller, local)[:MAX_LOCAL_ADDRESSES]
    ranked = local_ranked + rank_names(caller, remote)
    return [members[vm] for vm in ranked[:MAX_ADDRESSES]]
