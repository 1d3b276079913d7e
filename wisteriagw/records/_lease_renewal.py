"""Log record: the holder of an authority renews its lease."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseRenewal(NamedTuple):
    """The holder of a grant restarts the term of its lease."""

    authority: str
    grant: int
    nonce: str
    based_on: int
