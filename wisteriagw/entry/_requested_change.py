"""A change that an operator asked for."""

from __future__ import annotations

from typing import Any, NamedTuple


class RequestedChange(NamedTuple):
    """The record to append, and what the answer holds besides the outcome."""

    record: Any
    answer: dict[str, Any]
