"""CBOR form of mesh messages."""

from __future__ import annotations

from typing import Any

from wisteriagw.messages._registry import MESSAGES
from wisteriagw.registry import decode_array, encode_array


def encode_message(message: Any) -> bytes:
    """Return the CBOR form of a registered message."""
    return encode_array(MESSAGES, message)


def decode_message(data: bytes, place: str = "message") -> Any:
    """Return the message in some bytes, or a Finding if they hold none."""
    return decode_array(MESSAGES, data, place)
