"""Row of a sheet: customer."""

from __future__ import annotations

from typing import TypedDict


class CustomerRow(TypedDict):
    """A customer of the day with its share of the fleet."""

    name: str
    weight: float
    priority: int
