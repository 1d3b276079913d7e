"""Servers that may take a second attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from wisteriagw.hedging import is_centre_failing

if TYPE_CHECKING:
    from wisteriagw.gateway._server_access import ServerAccess


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

    Left out are the server of the first attempt, its data centre if that fails, and
    servers that are leaving, paused, being changed or have announced a limit. So are
    engines of the prefill stage, so that a hedge takes time of one server only.
    """
    context = access.context
    servers = context.fleet.fleet.list_service(access.service.name)
    views = context.work.list_views(servers, None, now)
    known = context.fleet.fleet.servers.get(first)
    centre = None if known is None else known.data_centre
    if centre is not None and not is_centre_failing(views, centre):
        centre = None
    excluded, count = [first], 0
    for server in servers:
        if server.name == first:
            continue
        if (
            server.data_centre == centre
            or server.stage == "prefill"
            or context.work.is_unavailable(server.name, now)
            or context.notices.find_wait(server, now)
            or context.notices.table.get_rate_limit(server) is not None
        ):
            excluded.append(server.name)
            continue
        count += 1
    # Engines of the prefill stage run no streams.
    decode = [view for view in views if view.stage != "prefill"]
    slots = sum(view.slots for view in decode)
    streams = sum(view.streams for view in decode)
    return HedgeCandidates(tuple(excluded), count, streams / slots if slots else 1.0)
