"""Engines that the work of each stage keeps busy."""

from __future__ import annotations

from typing import NamedTuple


class StageNeed(NamedTuple):
    """Recent peaks of the work of both stages, in fully busy engines."""

    prefill: float
    decode: float
