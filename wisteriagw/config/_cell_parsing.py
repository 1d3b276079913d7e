"""Parsers for cell values; each returns the value or raises ValueError."""

from __future__ import annotations

from wisteriagw.settings import (
    AddressKind,
    ChoiceKind,
    IntegerKind,
    NumberKind,
    parse_value,
)

ROLES = ChoiceKind(("prefill", "decode", "mixed"))
METHODS = ChoiceKind(("GET", "POST", "PUT", "DELETE"))
MAX_PRIORITY = 9
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
# Characters allowed in a name in addition to letters and digits.
NAME_PUNCTUATION = "-_."
REMOVE_PUNCTUATION = str.maketrans("", "", NAME_PUNCTUATION)


def parse_name(text: str) -> str:
    """Return a name that is safe to use in paths and metric names."""
    if not text:
        raise ValueError("must not be empty")
    rest = text.translate(REMOVE_PUNCTUATION)
    if rest and not rest.isalnum():
        raise ValueError(f"{text!r} may contain only letters, digits and -_.")
    return text


def parse_names(text: str) -> list[str]:
    """Return the names in a possibly empty list separated by ``|``."""
    return [parse_name(part.strip()) for part in text.split("|")] if text else []


def parse_address(text: str) -> str:
    """Return a valid ``IP:PORT`` unchanged."""
    parse_value(AddressKind(), text)
    return text


def parse_weight(text: str) -> float:
    """Return the weight of a customer."""
    return parse_value(NumberKind(MIN_WEIGHT, MAX_WEIGHT, "of weight"), text)


def parse_priority(text: str) -> int:
    """Return the priority of a customer; an empty cell means 0."""
    return parse_value(IntegerKind(0, MAX_PRIORITY, "of priority"), text or "0")


def parse_flag(text: str) -> bool:
    """Return whether a cell is ``yes``; an empty cell means no."""
    if text not in ("yes", "no", ""):
        raise ValueError(f"{text!r} is not yes or no")
    return text == "yes"


def parse_role(text: str) -> str:
    """Return the role of an engine."""
    return parse_value(ROLES, text)


def parse_method(text: str) -> str:
    """Return the HTTP method of a route."""
    return parse_value(METHODS, text)


def parse_path(text: str) -> str:
    """Return the path prefix of a route."""
    if not text.startswith("/"):
        raise ValueError(f"{text!r} does not start with /")
    return text
