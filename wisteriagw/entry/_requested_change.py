"""Change that an operator requested."""

from __future__ import annotations

from typing import Any, NamedTuple


class RequestedChange(NamedTuple):
    """The record to append, and further fields of the response."""

    record: Any
    answer: dict[str, Any]
