"""Identity of a process that may hold an authority."""

from __future__ import annotations

from typing import NamedTuple


class ProcessIdentity(NamedTuple):
    """A process, the VM it runs on and the address that it has bound.

    Attributes
    ----------
    vm : str
        Name of the VM on the VM list.
    incarnation : str
        Random identity of this process.
    control_address : str
        Address that it keeps bound until it ends.
    """

    vm: str
    incarnation: str
    control_address: str
