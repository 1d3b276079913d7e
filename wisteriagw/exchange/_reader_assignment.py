"""Assignment of backend servers to the entry VMs that read their load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from wisteriagw.membership import (
    VmStatus,
    get_status,
    rank_names,
    uses_relays,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.config import BackendServerRow
    from wisteriagw.membership import MembershipState

# With up to this many backend servers every entry VM reads all of them.
SMALL_FLEET_SERVERS = 16
# With two readers, reports still arrive when one of them fails.
READERS_PER_ENGINE = 2


def list_assigned_engines(
    rows: Iterable[BackendServerRow], state: MembershipState, now: float
) -> list[BackendServerRow]:
    """Return the engines whose load this VM reads.

    In a mesh with relays, reports travel within a data centre only, so the readers of a
    server are the VMs of its data centre. If it has none, all VMs are candidates.

    Parameters
    ----------
    rows : iterable of BackendServerRow
        Backend servers on the sheet.
    state : MembershipState
        View of this VM.
    now : float
        Time in seconds.
    """
    rows = list(rows)
    engines = [row for row in rows if row["kind"] == "engine"]
    if len(rows) <= SMALL_FLEET_SERVERS:
        return engines
    readers: dict[str, list[str]] = {}
    for member in state.members.values():
        if get_status(state, member, now) is VmStatus.FAILED:
            continue
        readers.setdefault(member.data_centre, []).append(member.vm)
    all_readers = [vm for names in readers.values() for vm in names]
    relayed = uses_relays(state)
    assigned = []
    for row in engines:
        names = readers.get(row["data_centre"], all_readers) if relayed else all_readers
        if state.vm not in names:
            continue
        if state.vm in rank_names(row["name"], names)[:READERS_PER_ENGINE]:
            assigned.append(row)
    return assigned
