"""VM of the system as it registers itself."""

from __future__ import annotations

from typing import NamedTuple


class Member(NamedTuple):
    """Entry of a VM.

    Attributes
    ----------
    vm, data_centre : str
        Names of the VM and of its data centre.
    front : str
        Address that callers use, as ``IP:PORT``.
    host, port : str and int
        Where other VMs reach it.
    incarnation : str
        Start of the process.
    capacity : float
        Processor cores of usual speed that the VM has.
    """

    vm: str
    data_centre: str
    front: str
    host: str
    port: int
    incarnation: str
    capacity: float = 0.0
