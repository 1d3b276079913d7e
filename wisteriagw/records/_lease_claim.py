"""Log record: a process claims an authority."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseClaim(NamedTuple):
    """A claim to an authority; the offset of the record is its fencing number.

    Attributes
    ----------
    authority : str
        ``fleet`` or ``usage``.
    holder, incarnation : str
        VM and random identity of the process.
    control_address : str
        Address bound by the process. A later process of the VM that binds the same
        address proves that this one has ended.
    nonce : str
        Unique identifier of this append.
    based_on : int
        Offset of the authority's last accepted record, -1 if there is none.
    term : float
        Seconds for which the lease is valid, from the start of the append.
    """

    authority: str
    holder: str
    incarnation: str
    control_address: str
    nonce: str
    based_on: int
    term: float
