"""Log record: a key was given to a customer."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class KeyGiven(NamedTuple):
    """An operator gave a customer a key; only the SHA-256 of the key is kept."""

    customer: str
    key_hash: bytes
    operator: str
    nonce: str
