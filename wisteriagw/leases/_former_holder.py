"""A grant that was replaced before its end was proved."""

from __future__ import annotations

from typing import NamedTuple


class FormerHolder(NamedTuple):
    """A process that may still send orders under an old grant.

    Attributes
    ----------
    grant : int
        Its fencing number; after a reset, the offset of the reset.
    vm, incarnation, control_address : str
        Its process. After a reset only the VM is known.
    """

    grant: int
    vm: str
    incarnation: str
    control_address: str
