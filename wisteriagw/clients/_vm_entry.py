"""One VM on the platform's VM list."""

from __future__ import annotations

from typing import NamedTuple


class VmEntry(NamedTuple):
    """A VM that the platform runs for the system.

    Attributes
    ----------
    name, data_centre : str
        Identity and place.
    host : str
        IP address.
    leaving : bool
        Whether the platform is about to take the VM away.
    role : str
        ``entry`` for the VMs that run this system's programs, ``backend`` for the VM
        of a backend server.
    """

    name: str
    data_centre: str
    host: str
    leaving: bool
    role: str = "entry"
