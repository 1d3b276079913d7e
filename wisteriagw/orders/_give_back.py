"""Order: a backend server is released to the platform."""

from __future__ import annotations

from typing import NamedTuple


class GiveBack(NamedTuple):
    """Releases the backend server that an earlier order provided."""

    order_id: str
