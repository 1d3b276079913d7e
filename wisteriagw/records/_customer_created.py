"""Log record: a customer was created."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class CustomerCreated(NamedTuple):
    """An operator created a customer."""

    customer: str
    operator: str
    nonce: str
