"""Grant of the authority."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.eras import StorePosition, decode_position

# Incarnation of a grant from before the store was restored.
NOBODY = ""


class Grant(NamedTuple):
    """Newest record of the authority.

    Attributes
    ----------
    vm, incarnation : str
        Process that holds the authority.
    fencing_number : int
        Position of the claim in the store as a number, see `build_claim`.
    renewal : int
        Number of renewals by the holder.
    """

    vm: str
    incarnation: str
    fencing_number: int
    renewal: int = 0


def build_claim(
    vm: str, incarnation: str, end: StorePosition, known: Grant | None
) -> Grant:
    """Return the grant of a claim that is appended at the end of the topic.

    A claim that was lost in a restore is not known to anyone, so its number cannot be
    counted on from: the era makes the numbers of a restored store higher.
    """
    number = end._replace(offset=end.offset + 1).encode()
    if known is not None:
        number = max(number, known.fencing_number + 1)
    return Grant(vm, incarnation, int(number))


def revoke_earlier_era(grant: Grant, era: float) -> Grant:
    """Return a grant as it holds in an era: nobody holds one of an earlier era."""
    if decode_position(grant.fencing_number).era == era:
        return grant
    return grant._replace(incarnation=NOBODY)
