"""What an entry VM knows of one backend server."""

from __future__ import annotations

from typing import NamedTuple


class BackendView(NamedTuple):
    """A backend server as the routing decision sees it.

    Attributes
    ----------
    name, data_centre, serves, role : str
        Identity, place, model or service, and engine role.
    reclaimable : bool
        Whether the platform may take it back at short notice.
    leaving : bool
        Whether it shall get no new work.
    queued_prefill_tokens : int
        Prefill work that was reported or sent and is not known to be done.
    running_streams : int
        Streams that are being generated there.
    """

    name: str
    data_centre: str
    serves: str
    role: str = "mixed"
    reclaimable: bool = False
    leaving: bool = False
    queued_prefill_tokens: int = 0
    running_streams: int = 0
