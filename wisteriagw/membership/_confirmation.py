"""Confirmation of a revision."""

from __future__ import annotations

from typing import NamedTuple


class Confirmation(NamedTuple):
    """What a VM is known to hold.

    A change may be called accepted only on confirmations whose ``proved_at`` is at most
    ``CONFIRMATION_SECONDS`` old and whose VM list digest is the own one: a VM that
    restarts after that time counts again only once it has recovered the change.

    Attributes
    ----------
    vm : str
        The VM that confirms.
    vm_list_digest : int
        Digest of its VM list.
    revision : int
        Revision of the configuration that it holds, -1 if it is not established.
    proved_at : float
        Time on the own clock before which the confirmation was not sent, minus infinity
        if nothing was heard.
    """

    vm: str
    vm_list_digest: int
    revision: int
    proved_at: float
