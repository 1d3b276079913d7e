"""Registries of NamedTuple types that travel as CBOR."""

from __future__ import annotations

from wisteriagw.registry._codec import (
    decode_array,
    decode_map,
    encode_array,
    encode_map,
)
from wisteriagw.registry._type_registry import TypeRegistry

__all__ = [
    "TypeRegistry",
    "decode_array",
    "decode_map",
    "encode_array",
    "encode_map",
]
