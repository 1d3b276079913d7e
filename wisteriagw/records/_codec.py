"""CBOR form of log records."""

from __future__ import annotations

from typing import Any

import cbor2

from wisteriagw.findings import Finding
from wisteriagw.records._registry import build_record

KIND_FIELD = "kind"


def encode_record(record: Any) -> bytes:
    """Return the CBOR form of a registered record."""
    return cbor2.dumps({KIND_FIELD: type(record).__name__, **record._asdict()})


def decode_record(data: bytes, place: str = "record") -> Any:
    """Return the record in some bytes, or a Finding if they hold none.

    A Finding instead of an exception keeps one garbage record from stopping a reader.
    """
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, dict):
            return Finding(place, "not a CBOR map")
        return build_record(str(fields.pop(KIND_FIELD, "")), fields)
    except (ValueError, cbor2.CBORDecodeError, RecursionError, TypeError) as error:
        return Finding(place, f"not a valid record: {error}")
