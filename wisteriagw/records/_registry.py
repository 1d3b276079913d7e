"""Registry of log record types and their check on decoding."""

from __future__ import annotations

import typing
from typing import Any

_TYPES: dict[str, type] = {}
_FIELDS: dict[str, dict[str, type]] = {}


def register_record(record_type: type) -> type:
    """Register a NamedTuple type as a log record; used as a class decorator."""
    hints = typing.get_type_hints(record_type)
    _TYPES[record_type.__name__] = record_type
    _FIELDS[record_type.__name__] = {
        name: typing.get_origin(hint) or hint for name, hint in hints.items()
    }
    return record_type


def build_record(kind: str, fields: dict[str, Any]) -> Any:
    """Return the record of a kind, or raise ValueError if the fields do not fit."""
    record_type = _TYPES.get(kind)
    if record_type is None:
        raise ValueError(f"unknown record kind {kind!r}")
    expected = _FIELDS[kind]
    values: dict[str, Any] = {}
    for name, field_type in expected.items():
        if name not in fields:
            raise ValueError(f"{kind} lacks the field {name!r}")
        values[name] = _check_value(kind, name, field_type, fields[name])
    return record_type(**values)


def _check_value(kind: str, name: str, field_type: type, value: Any) -> Any:
    if field_type is Any:
        return value
    if field_type is tuple and isinstance(value, list):
        return tuple(value)
    if field_type is float and type(value) is int:
        return float(value)
    if isinstance(field_type, type) and type(value) is field_type:
        return value
    raise ValueError(f"{kind}.{name} has the type {type(value).__name__}")
