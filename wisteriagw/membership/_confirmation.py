"""Confirmation of a revision."""

from __future__ import annotations

from typing import NamedTuple


class Confirmation(NamedTuple):
    """Revision that a VM is known to hold.

    A change may be reported as accepted only on confirmations whose ``proved_at`` is at
    most ``CONFIRMATION_SECONDS`` old and whose VM list digest is the local one: a VM
    that restarts after that time counts again only once it has recovered the change.

    Attributes
    ----------
    vm : str
        The VM that confirms.
    vm_list_digest : int
        Digest of its VM list.
    revision : int
        Revision of the configuration that it holds, -1 if it is not established.
    proved_at : float
        Lower bound, on the local clock, of the time at which the confirmation was sent;
        minus infinity if none was received.
    """

    vm: str
    vm_list_digest: int
    revision: int
    proved_at: float
