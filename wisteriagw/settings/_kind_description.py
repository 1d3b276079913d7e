"""Descriptions of the kinds of settings for the reference page."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from wisteriagw.settings._address_kind import AddressKind
from wisteriagw.settings._address_list_kind import AddressListKind
from wisteriagw.settings._choice_kind import ChoiceKind
from wisteriagw.settings._file_kind import FileKind
from wisteriagw.settings._flag_kind import FlagKind
from wisteriagw.settings._integer_kind import IntegerKind
from wisteriagw.settings._number_kind import NumberKind
from wisteriagw.settings._text_kind import TextKind


@singledispatch
def describe_kind(kind: Any) -> tuple[str, str]:
    """Return the unit and the bounds of a kind of setting."""
    raise TypeError(f"no description of settings of kind {type(kind).__name__}")


@describe_kind.register
def _(kind: TextKind) -> tuple[str, str]:
    return "text", "not empty"


@describe_kind.register
def _(kind: FlagKind) -> tuple[str, str]:
    return "switch", "true or false"


@describe_kind.register
def _(kind: FileKind) -> tuple[str, str]:
    return "path", "a file that can be read"


@describe_kind.register
def _(kind: AddressKind) -> tuple[str, str]:
    return "IP:port", "an IP address, no host name"


@describe_kind.register
def _(kind: AddressListKind) -> tuple[str, str]:
    return "IP:port, ...", "IP addresses, no host names"


@describe_kind.register
def _(kind: ChoiceKind) -> tuple[str, str]:
    return "choice", ", ".join(kind.values)


@describe_kind.register
def _(kind: IntegerKind) -> tuple[str, str]:
    return kind.unit, f"{kind.minimum} to {kind.maximum}"


@describe_kind.register
def _(kind: NumberKind) -> tuple[str, str]:
    return kind.unit, f"{kind.minimum:g} to {kind.maximum:g}"
