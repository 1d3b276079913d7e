"""Log record: the lease of an authority is reset after its records were lost."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseReset(NamedTuple):
    """Reset by a reader that lacks the lease and saw no record of it for a full term.

    Attributes
    ----------
    authority : str
        Authority whose lease is reset.
    first_offset, through : int
        Range that the writer read without a record of the authority.
    vms : tuple of str
        VMs on the VM list; the unknown former holder ran on one of them.
    nonce : str
        Unique identifier of this append.
    """

    authority: str
    first_offset: int
    through: int
    vms: tuple
    nonce: str
