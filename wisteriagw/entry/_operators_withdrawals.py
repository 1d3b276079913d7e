"""Operators' interface: withdrawals of keys."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Any

from wisteriagw.config import hash_key
from wisteriagw.entry._change_body import require_text
from wisteriagw.entry._requested_change import RequestedChange
from wisteriagw.records import KeyWithdrawn

if TYPE_CHECKING:
    from wisteriagw.config import ConfigState


def build_key_withdrawal(
    body: dict[str, Any], operator: str, nonce: str, config: ConfigState
) -> RequestedChange:
    """Return the change of ``POST /v1/withdrawals`` by key or by its hash."""
    if "key_hash" in body:
        key_hash = bytes.fromhex(require_text(body, "key_hash"))
        if len(key_hash) != hashlib.sha256().digest_size:
            raise ValueError("'key_hash' is not a SHA-256 in hexadecimal")
    else:
        key_hash = hash_key(require_text(body, "key"))
    record = KeyWithdrawn(key_hash, operator, nonce)
    return RequestedChange(record, {"was_valid": key_hash in config.key_customers})
