"""Order: an engine changes its role."""

from __future__ import annotations

from typing import NamedTuple


class ChangeRole(NamedTuple):
    """An engine shall take the role ``prefill``, ``decode`` or ``mixed``."""

    engine: str
    role: str
