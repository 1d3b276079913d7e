"""Log record: an order id was chosen for a need."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class OrderIntent(NamedTuple):
    """The holder is about to order a backend server; logged before the first send."""

    need: str
    order_id: str
    grant: int
    order: dict
