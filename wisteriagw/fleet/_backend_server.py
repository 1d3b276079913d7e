"""Registration of a backend server."""

from __future__ import annotations

from typing import NamedTuple


class BackendServer(NamedTuple):
    """A backend server as it registered itself.

    Attributes
    ----------
    name : str
        Id that the server registered under.
    service : str
        Service that it belongs to.
    address : tuple of str and int
        Host and port at which it accepts requests.
    data_centre : str
        Data centre in which it runs.
    slots : int
        Requests that it serves at once.
    leaving : bool
        Whether it is about to end and accepts no new work.
    stage : str
        ``prefill`` or ``decode`` for a model engine, otherwise empty.
    born : int
        Start time; the same name with another start time is another server.
    reclaimable : bool
        Whether the platform may take it away at short notice.
    changing : bool
        Whether an order is in progress.
    """

    name: str
    service: str
    address: tuple[str, int]
    data_centre: str
    slots: int
    leaving: bool = False
    stage: str = ""
    born: int = 0
    reclaimable: bool = False
    changing: bool = False
