"""JSON that others wrote: loaded with its nesting, types and ranges checked."""

from __future__ import annotations

from wisteriagw.jsondata._loading import (
    DECODE_ERRORS,
    MAX_INTEGER,
    is_plain,
    load_json,
    load_record,
)

__all__ = ["DECODE_ERRORS", "MAX_INTEGER", "is_plain", "load_json", "load_record"]
