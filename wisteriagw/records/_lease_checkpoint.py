"""Log record: the state of one lease, for readers whose start is gone."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class LeaseCheckpoint(NamedTuple):
    """State of an authority's lease, every record up to ``through`` included."""

    authority: str
    through: int
    lease: dict
