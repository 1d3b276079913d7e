"""Order: an engine changes its role."""

from __future__ import annotations

from typing import NamedTuple


class ChangeRole(NamedTuple):
    """Changes the role of an engine to ``prefill``, ``decode`` or ``mixed``."""

    engine: str
    role: str
