"""Log record: the state of one lease, for readers that lack its older records."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseCheckpoint(NamedTuple):
    """State of an authority's lease after every record up to ``through``."""

    authority: str
    through: int
    lease: dict
