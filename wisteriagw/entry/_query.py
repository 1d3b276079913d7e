"""Parsing of query arguments."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.web.server import Request


def read_text(request: Request, name: str) -> str:
    """Return a query argument, or an empty string."""
    values = request.args.get(name.encode("ascii"), [b""])
    return values[0].decode("utf-8", "replace")


def read_number(request: Request, name: str, default: float) -> float:
    """Return a non-negative number, or raise ValueError."""
    text = read_text(request, name)
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        raise ValueError(f"{name!r} must be a number, not {text!r}") from None
    if not math.isfinite(number) or number < 0:
        raise ValueError(f"{name!r} must be a non-negative number")
    return number
