"""Backend server row of a sheet."""

from __future__ import annotations

from typing import TypedDict


class BackendServerRow(TypedDict):
    """A backend server on the sheet.

    Attributes
    ----------
    name, data_centre : str
        Name and location.
    address : str
        IP address and port.
    kind : str
        ``engine`` or ``service``.
    serves : str
        Name of the model or plain service that it serves.
    role : str
        ``prefill``, ``decode`` or ``mixed`` for an engine, empty for a service.
    checks_fencing : bool
        Whether it rejects orders with an outdated fencing number.
    reclaimable : bool
        Whether it is a lower-priced server that the platform may reclaim at short
        notice.
    """

    name: str
    data_centre: str
    address: str
    kind: str
    serves: str
    role: str
    checks_fencing: bool
    reclaimable: bool
