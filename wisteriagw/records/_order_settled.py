"""Log record: a need for a backend server is over."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class OrderSettled(NamedTuple):
    """The order of a need ended, so that its id need not be kept."""

    need: str
    order_id: str
    result: str
