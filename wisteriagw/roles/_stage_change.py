"""Change of an engine's stage."""

from __future__ import annotations

from typing import NamedTuple


class StageChange(NamedTuple):
    """An engine and the stage that it has to change to."""

    engine: str
    stage: str
