"""Next step of an order."""

from __future__ import annotations

from typing import NamedTuple


class OrderStep(NamedTuple):
    """Action ``wait``, ``read``, ``intend``, ``send`` or ``done``, and its reason."""

    action: str
    reason: str
