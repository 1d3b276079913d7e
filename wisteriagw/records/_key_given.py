"""Log record: an API key was issued to a customer."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class KeyGiven(NamedTuple):
    """An operator issued a key to a customer; only its SHA-256 is stored."""

    customer: str
    key_hash: bytes
    operator: str
    nonce: str
