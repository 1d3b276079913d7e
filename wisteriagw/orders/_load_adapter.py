"""Order: an engine loads an adapter."""

from __future__ import annotations

from typing import NamedTuple


class LoadAdapter(NamedTuple):
    """Loads an adapter on an engine."""

    engine: str
    adapter: str
