"""Operators' interface: customers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.records import CustomerCreated

if TYPE_CHECKING:
    from wisteriagw.config import ConfigState


def build_customer_creation(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange:
    """Return the change of ``POST /v1/customers``."""
    customer = require_text(body, "customer")
    return RequestedChange(CustomerCreated(customer, operator, nonce), {})
