"""Conversion of recorded values to JSON types."""

from __future__ import annotations

from functools import singledispatch
from typing import Any


@singledispatch
def to_plain(value: Any) -> Any:
    """Return a value that the JSON encoder supports; other types become strings."""
    return str(value)


@to_plain.register(str)
@to_plain.register(int)
@to_plain.register(float)
@to_plain.register(type(None))
def _(value: Any) -> Any:
    return value


@to_plain.register
def _(value: list) -> Any:
    return [to_plain(part) for part in value]


@to_plain.register
def _(value: frozenset) -> Any:
    return sorted(to_plain(part) for part in value)


@to_plain.register
def _(value: dict) -> Any:
    return {str(name): to_plain(part) for name, part in value.items()}


@to_plain.register
def _(value: tuple) -> Any:
    if hasattr(value, "_asdict"):
        return to_plain(value._asdict())
    return [to_plain(part) for part in value]
