"""CBOR forms of registered values."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import cbor2

from wisteriagw.findings import Finding

if TYPE_CHECKING:
    from wisteriagw.registry._type_registry import TypeRegistry

KIND_FIELD = "kind"


def encode_map(registry: TypeRegistry, value: Any) -> bytes:
    """Return a registered value as a map with field names."""
    return cbor2.dumps({KIND_FIELD: registry.get_name(type(value)), **value._asdict()})


def encode_array(registry: TypeRegistry, value: Any) -> bytes:
    """Return a registered value as an array of the kind and the fields in order.

    Field names are two thirds of the size of a heartbeat in the form of a map.
    """
    return cbor2.dumps([registry.get_name(type(value)), *value])


def decode_map(registry: TypeRegistry, data: bytes, place: str) -> Any:
    """Return the value in the map form, or a Finding if there is none."""
    try:
        fields = cbor2.loads(data)
        if not isinstance(fields, dict):
            return Finding(place, "not a CBOR map")
        return registry.build(str(fields.pop(KIND_FIELD, "")), fields)
    except Exception as error:
        # Tagged CBOR values raise errors of many types, also ArithmeticError.
        return Finding(place, f"not a valid {registry.noun}: {error}")


def decode_array(registry: TypeRegistry, data: bytes, place: str) -> Any:
    """Return the value in the array form, or a Finding if there is none."""
    try:
        parts = cbor2.loads(data)
        if not isinstance(parts, list) or not parts:
            return Finding(place, "not a CBOR array")
        return registry.build_positional(str(parts[0]), parts[1:])
    except Exception as error:
        # Tagged CBOR values raise errors of many types, also ArithmeticError.
        return Finding(place, f"not a valid {registry.noun}: {error}")
