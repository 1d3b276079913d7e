"""Loading of JSON that others wrote."""

from __future__ import annotations

import json
import math
from typing import Any, get_type_hints

# Integers beyond this are not exact in all JSON parsers, and overflow where they are
# divided or converted.
MAX_INTEGER = 2**53
# What a decoder raises that takes fields as they come, without checks of its own.
DECODE_ERRORS = (ArithmeticError, AttributeError, LookupError, TypeError, ValueError)
FIELD_TYPES: dict[type, tuple[type, ...]] = {
    str: (str,),
    int: (int,),
    float: (int, float),
}


def load_json(data: bytes | str) -> Any:
    """Return the value in JSON text; raises ValueError if it holds none.

    Text that is nested too deeply raises ValueError too.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("the JSON is nested too deeply") from error


def load_record(kind: type, data: bytes) -> Any:
    """Return a ``NamedTuple`` of plain fields from a JSON object.

    Raises ValueError for a field that is missing, unknown, of another type, or out of
    range.
    """
    fields = load_json(data)
    if not isinstance(fields, dict):
        raise ValueError("is not a JSON object")
    hints = get_type_hints(kind)
    for name, value in fields.items():
        if name not in hints:
            raise ValueError(f"has the unknown field {name!r}")
        if not is_plain(value, FIELD_TYPES[hints[name]]):
            raise ValueError(f"has an invalid field {name!r}")
    try:
        return kind(**fields)
    except TypeError as error:
        raise ValueError(f"lacks a field: {error}") from error


def is_plain(value: Any, types: tuple[type, ...]) -> bool:
    """Return whether a value has a type and can be used without further checks."""
    if type(value) not in types:
        return False
    if isinstance(value, str):
        return value.isprintable()
    if type(value) is float and not math.isfinite(value):
        return False
    return abs(value) < MAX_INTEGER
