"""Entry of the platform's VM list."""

from __future__ import annotations

from typing import NamedTuple


class VmEntry(NamedTuple):
    """A VM that the platform runs for the system.

    Attributes
    ----------
    name, data_centre : str
        Names of the VM and of its data centre.
    host : str
        IP address.
    leaving : bool
        Whether the platform is about to remove the VM.
    role : str
        ``entry`` for a VM that runs this system's programs, ``backend`` for the VM of a
        backend server.
    """

    name: str
    data_centre: str
    host: str
    leaving: bool
    role: str = "entry"
