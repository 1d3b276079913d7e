"""Registry of NamedTuple types and their check on decoding."""

from __future__ import annotations

import typing
from functools import partial
from typing import Any


class TypeRegistry:
    """NamedTuple types by their encoded name, with the types of their fields.

    Parameters
    ----------
    noun : str
        What the types stand for, used in error messages.
    """

    def __init__(self, noun: str) -> None:
        self.noun = noun
        self._types: dict[str, type] = {}
        self._names: dict[type, str] = {}
        self._fields: dict[str, dict[str, type]] = {}

    def register(self, value_type: Any = None, *, name: str | None = None) -> Any:
        """Register a NamedTuple type; used as a class decorator.

        Parameters
        ----------
        value_type : type, optional
            The type; without it, a decorator is returned.
        name : str, optional
            Encoded name of the type, by default its class name. It lets a class be
            renamed while its encoded form stays the same.
        """
        if value_type is None:
            return partial(self.register, name=name)
        kind = name or value_type.__name__
        hints = typing.get_type_hints(value_type)
        self._types[kind] = value_type
        self._names[value_type] = kind
        self._fields[kind] = {
            field: typing.get_origin(hint) or hint for field, hint in hints.items()
        }
        return value_type

    def get_name(self, value_type: type) -> str:
        """Return the encoded name of a type, the class name if not registered."""
        return self._names.get(value_type, value_type.__name__)

    def build(self, kind: str, fields: dict[str, Any]) -> Any:
        """Return the value of a kind, or raise ValueError if the fields do not fit."""
        value_type = self._find_type(kind)
        values: dict[str, Any] = {}
        for name, field_type in self._fields[kind].items():
            if name in fields:
                values[name] = _check_value(kind, name, field_type, fields[name])
                continue
            if name not in value_type._field_defaults:
                raise ValueError(f"{kind} lacks the field {name!r}")
        return value_type(**values)

    def build_positional(self, kind: str, values: list[Any]) -> Any:
        """Return the value of a kind from its fields in order.

        Values after the last field are ignored and fields with a default may be
        missing at the end, so that two versions of a program understand each other.
        """
        self._find_type(kind)
        return self.build(kind, dict(zip(self._fields[kind], values, strict=False)))

    def _find_type(self, kind: str) -> Any:
        value_type = self._types.get(kind)
        if value_type is None:
            raise ValueError(f"unknown {self.noun} kind {kind!r}")
        return value_type


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
