"""Choice of the entry VMs that read the load of a backend server."""

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
READ_ALL = 16
# Two readers keep the reports coming when one of them fails.
OWNERS = 2


def list_owned(
    rows: Iterable[BackendServerRow], state: MembershipState, now: float
) -> list[BackendServerRow]:
    """Return the engines whose load this VM reads.

    In a split mesh reports travel within a data centre only, so the readers of a server
    are the VMs of its data centre. Without one there, all VMs share the server.

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
    if len(rows) <= READ_ALL:
        return engines
    readers: dict[str, list[str]] = {}
    for member in state.members.values():
        if get_status(state, member, now) is VmStatus.FAILED:
            continue
        readers.setdefault(member.data_centre, []).append(member.vm)
    everyone = [vm for names in readers.values() for vm in names]
    split = uses_relays(state)
    owned = []
    for row in engines:
        names = readers.get(row["data_centre"], everyone) if split else everyone
        if state.vm not in names:
            continue
        if state.vm in rank_names(row["name"], names)[:OWNERS]:
            owned.append(row)
    return owned
