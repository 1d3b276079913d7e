"""Order: an engine loads an adapter."""

from __future__ import annotations

from typing import NamedTuple


class LoadAdapter(NamedTuple):
    """An engine shall have an adapter ready."""

    engine: str
    adapter: str
