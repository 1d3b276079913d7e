"""Customer row of a sheet."""

from __future__ import annotations

from typing import TypedDict


class CustomerRow(TypedDict):
    """A customer with its weight and priority in sharing the fleet."""

    name: str
    weight: float
    priority: int
