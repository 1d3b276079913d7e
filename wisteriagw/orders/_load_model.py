"""Order: an engine loads a model."""

from __future__ import annotations

from typing import NamedTuple


class LoadModel(NamedTuple):
    """Loads a version of a model on an engine."""

    engine: str
    model: str
    version: str
