"""Row of a sheet: backend server."""

from __future__ import annotations

from typing import TypedDict


class BackendServerRow(TypedDict):
    """A backend server of the day.

    Attributes
    ----------
    name, data_centre : str
        Identity and place.
    address : str
        IP address and port.
    kind : str
        ``engine`` or ``service``.
    serves : str
        Name of the model or of the plain service.
    role : str
        ``prefill``, ``decode`` or ``mixed`` for an engine, empty for a service.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    reclaimable : bool
        Whether it is a cheap one that the platform may take back at short notice.
    """

    name: str
    data_centre: str
    address: str
    kind: str
    serves: str
    role: str
    checks_fencing: bool
    reclaimable: bool
