"""Log record: the order for a need has ended."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class OrderSettled(NamedTuple):
    """The order for a need has ended, so its id need not be kept."""

    need: str
    order_id: str
    result: str
