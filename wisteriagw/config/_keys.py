"""Creation, hashing and lookup of customer keys."""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.config._config_state import ConfigState

KEY_BYTES = 32


def create_key() -> str:
    """Return a new random key."""
    return "wk-" + secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> bytes:
    """Return the SHA-256 of a key.

    A plain hash is enough: keys are random and too long to be guessed.
    """
    return hashlib.sha256(key.encode("utf-8")).digest()


def find_customer(state: ConfigState, key: str) -> str | None:
    """Return the customer of a valid key, or None."""
    key_hash = hash_key(key)
    customer = state.key_customers.get(key_hash)
    if customer is None:
        return None
    stored = next(known for known in state.key_customers if known == key_hash)
    if not hmac.compare_digest(stored, key_hash):
        return None
    return customer
