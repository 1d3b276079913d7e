"""Log record: a grant of an authority has ended permanently."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseRelease(NamedTuple):
    """End of a grant; no further order is sent under it.

    Attributes
    ----------
    authority : str
        Authority of the grant.
    grant : int
        Fencing number that has ended.
    vm : str
        VM that the grant belonged to.
    released_by : str
        Incarnation of the writer: the holder itself, or a later process of the same VM
        that has bound the same control address.
    based_on : int
        Offset of the authority's last accepted record; only a release of the grant
        in force depends on it.
    """

    authority: str
    grant: int
    vm: str
    released_by: str
    based_on: int
