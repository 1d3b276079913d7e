"""Servers that may take a second attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.hedging import is_centre_failing

if TYPE_CHECKING:
    from wisteriagw.fleet import BackendServer
    from wisteriagw.gateway._server_access import ServerAccess

PREFILL_STAGE = "prefill"


class HedgeCandidates(NamedTuple):
    """Servers for the second attempt of a request.

    Attributes
    ----------
    excluded : tuple of str
        Servers of the service that it must not go to.
    count : int
        Servers that it may go to.
    slots_in_use : float
        Part of the slots of the service that is in use.
    """

    excluded: tuple[str, ...]
    count: int
    slots_in_use: float


def find_candidates(access: ServerAccess, first: str, now: float) -> HedgeCandidates:
    """Return the servers for the second attempt of a request.

    Left out are the server of the first attempt, its data centre if that fails and
    another one has servers to offer, and servers that are leaving, paused, being
    changed or have announced a limit. So are engines of the prefill stage, so that a
    hedge takes time of one server only.
    """
    context = access.context
    servers = context.fleet.fleet.list_service(access.service.name)
    views = context.work.list_views(servers, None, now)
    offered = [
        server
        for server in servers
        if server.name != first and _takes_hedges(access, server, now)
    ]
    known = context.fleet.fleet.servers.get(first)
    if known is not None and is_centre_failing(views, known.data_centre):
        others = [
            server for server in offered if server.data_centre != known.data_centre
        ]
        offered = others or offered
    names = {server.name for server in offered}
    excluded = [server.name for server in servers if server.name not in names]
    # The first server may have left the list since.
    if first not in excluded:
        excluded.append(first)
    # Engines of the prefill stage run no streams.
    decode = [view for view in views if view.stage != PREFILL_STAGE]
    slots = sum(view.slots for view in decode)
    streams = sum(view.streams for view in decode)
    in_use = streams / slots if slots else 1.0
    return HedgeCandidates(tuple(excluded), len(offered), in_use)


def _takes_hedges(access: ServerAccess, server: BackendServer, now: float) -> bool:
    notices = access.context.notices
    return (
        server.stage != PREFILL_STAGE
        and not access.context.work.is_unavailable(server.name, now)
        and not notices.find_wait(server, now)
        and notices.table.get_rate_limit(server) is None
    )
