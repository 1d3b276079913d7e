"""Decoding and encoding of callers' address queries."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

if TYPE_CHECKING:
    from collections.abc import Sequence

RESOLVE_PATH = b"/resolve"
READY_PATH = b"/ready"
JSON_HEADERS = ((b"content-type", b"application/json"),)


def decode_caller_data_centre(target: bytes) -> str:
    """Return the data centre given by a caller, or an empty string."""
    query = parse_qs(target.partition(b"?")[2].decode("latin-1"))
    return query.get("zone", [""])[0]


def encode_addresses(addresses: Sequence[str], seconds: float) -> bytes:
    """Return the body of a response with addresses and their time to live."""
    return json.dumps({"addresses": list(addresses), "ttl_s": seconds}).encode("utf-8")
