"""CBOR form of log records."""

from __future__ import annotations

from typing import Any

from wisteriagw.records._registry import RECORDS
from wisteriagw.registry import decode_map, encode_map


def encode_record(record: Any) -> bytes:
    """Return the CBOR form of a registered record."""
    return encode_map(RECORDS, record)


def decode_record(data: bytes, place: str = "record") -> Any:
    """Return the record in some bytes, or a Finding if they hold none.

    A Finding instead of an exception keeps one garbage record from stopping a reader.
    """
    return decode_map(RECORDS, data, place)
