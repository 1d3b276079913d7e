"""Choice of the engine that keeps a copy of a running stream's KV cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from wisteriagw.placement._sampling import is_sound

if TYPE_CHECKING:
    from collections.abc import Iterable

    from wisteriagw.placement._server_view import ServerView


def choose_backup(
    request_id: str, running: str, views: Iterable[ServerView]
) -> str | None:
    """Return the engine that can continue a stream when its own is lost, or None.

    Engines in the same data centre come first, because a copy to another one takes the
    links twice as long. Only the loss of a whole data centre takes both engines without
    notice. The rendezvous hash of the request spreads the copies, and with them the
    streams of a lost engine, over all candidates; no VM needs to know the choices of
    the others.

    Parameters
    ----------
    request_id : str
        Id of the request.
    running : str
        Engine that runs the stream.
    views : iterable of ServerView
        Engines of the service, the running one included.
    """
    candidates = list(views)
    data_centre = ""
    for view in candidates:
        if view.name == running:
            data_centre = view.data_centre
    best: ServerView | None = None
    best_rank: tuple[bool, int] = (False, -1)
    for view in candidates:
        if view.name == running or view.stage == "prefill":
            continue
        if view.streams >= view.slots or not is_sound(view):
            continue
        text = f"{request_id} {view.name}".encode()
        rank = (view.data_centre == data_centre, xxhash.xxh3_64_intdigest(text))
        if best is None or rank > best_rank:
            best, best_rank = view, rank
    return None if best is None else best.name
