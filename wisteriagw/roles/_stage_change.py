"""Change of an engine's stage."""

from __future__ import annotations

from typing import NamedTuple


class StageChange(NamedTuple):
    """Stage that an engine shall have."""

    engine: str
    stage: str
