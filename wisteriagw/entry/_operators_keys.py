"""Operators' interface: keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from wisteriagw.config import create_key, hash_key
from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.records import KeyGiven

if TYPE_CHECKING:
    from wisteriagw.config import ConfigState


def build_key_creation(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange:
    """Return the change of ``POST /v1/keys``; the key is only in the response."""
    customer = require_text(body, "customer")
    key = create_key()
    key_hash = hash_key(key)
    record = KeyGiven(customer, key_hash, operator, nonce)
    return RequestedChange(record, {"key": key, "key_hash": key_hash.hex()})
