"""Order: a backend server goes back to the platform."""

from __future__ import annotations

from typing import NamedTuple


class GiveBack(NamedTuple):
    """The backend server of an order is not needed any more."""

    order_id: str
