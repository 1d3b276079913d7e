"""Next step with an order."""

from __future__ import annotations

from typing import NamedTuple


class OrderStep(NamedTuple):
    """What to do now: ``wait``, ``read``, ``intend``, ``send`` or ``done``, and why."""

    action: str
    reason: str
