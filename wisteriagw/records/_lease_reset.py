"""Log record: an authority starts anew after its records were lost."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseReset(NamedTuple):
    """A reader that cannot know the lease saw no record of it for a whole term.

    Attributes
    ----------
    authority : str
        Authority that starts anew.
    first_offset, through : int
        Range that the writer read without a record of the authority.
    vms : tuple of str
        VMs on the VM list; the unknown former holder ran on one of them.
    nonce : str
        Identity of this append.
    """

    authority: str
    first_offset: int
    through: int
    vms: tuple
    nonce: str
