"""Log record: an API key was withdrawn."""

from __future__ import annotations

from typing import NamedTuple

from wisteriagw.records._registry import register_record


@register_record
class KeyWithdrawn(NamedTuple):
    """An operator withdrew a key."""

    key_hash: bytes
    operator: str
    nonce: str
