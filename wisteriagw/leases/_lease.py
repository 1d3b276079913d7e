"""Lease of one authority."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.leases._former_holder import FormerHolder

NO_OFFSET = -1


class Lease(NamedTuple):
    """Lease of an authority according to the log.

    Attributes
    ----------
    head : int
        Offset of the last accepted record, -1 if there is none.
    head_nonce : str
        Nonce of that record.
    grant : int
        Fencing number in force, -1 if nobody holds the authority.
    vm, incarnation, control_address : str
        Process that holds it; empty if nobody does.
    term : float
        Seconds for which a claim or renewal holds.
    former : tuple of FormerHolder
        Earlier holders whose end no release has proved.
    """

    head: int = NO_OFFSET
    head_nonce: str = ""
    grant: int = NO_OFFSET
    vm: str = ""
    incarnation: str = ""
    control_address: str = ""
    term: float = 0.0
    former: tuple[FormerHolder, ...] = ()
