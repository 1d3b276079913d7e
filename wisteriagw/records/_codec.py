"""CBOR form of log records."""

from __future__ import annotations

from typing import Any

from wisteriagw.records._registry import RECORDS
from wisteriagw.registry import decode_map, encode_map


def encode_record(record: Any) -> bytes:
    """Return the CBOR form of a registered record."""
    return encode_map(RECORDS, record)


def decode_record(data: bytes, place: str = "record") -> Any:
    """Return the decoded record, or a Finding if the data is not a valid record.

    A Finding is returned, not raised, so that one invalid record stops no reader.
    """
    return decode_map(RECORDS, data, place)
