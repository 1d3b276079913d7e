"""Parsing of setting values by their kind."""

from __future__ import annotations

import ipaddress
import os
import socket
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

MAX_PORT = 65535


@singledispatch
def parse_value(kind: Any, text: str) -> Any:
    """Parse a value; raises ValueError if it is invalid."""
    raise TypeError(f"no parser for settings of kind {type(kind).__name__}")


@parse_value.register
def _(kind: TextKind, text: str) -> str:
    return text


@parse_value.register
def _(kind: FlagKind, text: str) -> bool:
    if text not in ("true", "false"):
        raise ValueError(f"{text!r} is neither 'true' nor 'false'")
    return text == "true"


@parse_value.register
def _(kind: IntegerKind, text: str) -> int:
    try:
        value = int(text)
    except ValueError:
        raise ValueError(f"{text!r} is not an integer") from None
    _check_bounds(kind, value)
    return value


@parse_value.register
def _(kind: NumberKind, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a number") from None
    _check_bounds(kind, value)
    return value


@parse_value.register
def _(kind: ChoiceKind, text: str) -> str:
    if text not in kind.values:
        raise ValueError(f"{text!r} is not one of {', '.join(kind.values)}")
    return text


@parse_value.register
def _(kind: FileKind, text: str) -> str:
    if not os.access(text, os.R_OK):
        raise ValueError(f"{text!r} is not a readable file")
    return text


@parse_value.register
def _(kind: AddressKind, text: str) -> tuple[str, int]:
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"{text!r} is not of the form IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    if not _is_plain_ipv4(host) and not _is_ip_address(host):
        # Resolving a host name can block the event loop.
        raise ValueError(f"{host!r} is not an IP address")
    if not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ValueError(f"{port!r} is not a port number")
    return host, int(port)


@parse_value.register
def _(kind: AddressListKind, text: str) -> tuple[tuple[str, int], ...]:
    return tuple(parse_value(AddressKind(), part.strip()) for part in text.split(","))


def _is_plain_ipv4(text: str) -> bool:
    # Fast path: a sheet has 1,500 addresses, and ipaddress takes a fifth of its check.
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _check_bounds(kind: IntegerKind | NumberKind, value: float) -> None:
    if kind.minimum <= value <= kind.maximum:
        return
    raise ValueError(
        f"{value} {kind.unit} is not between {kind.minimum} and {kind.maximum}"
    )
