"""Authenticated caller of a request."""

from __future__ import annotations

from typing import NamedTuple


class Caller(NamedTuple):
    """The customer whose key came with a request, and the SHA-256 of the key."""

    customer: str
    key_hash: bytes
