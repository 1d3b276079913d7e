"""What a VM confirmed about the configuration."""

from __future__ import annotations

from typing import NamedTuple


class Confirmation(NamedTuple):
    """The newest confirmation that was heard from a VM.

    Attributes
    ----------
    vm : str
        Name of the VM.
    vm_list_digest : bytes
        Digest of the VM list that the VM had; see ``digest_vm_list``.
    revision : int
        Revision of the configuration that the VM applies.
    heard_at : float
        Boot time of this VM when it heard the confirmation.
    """

    vm: str
    vm_list_digest: bytes
    revision: int
    heard_at: float
