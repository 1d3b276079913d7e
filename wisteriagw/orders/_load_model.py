"""Order: an engine loads a model."""

from __future__ import annotations

from typing import NamedTuple


class LoadModel(NamedTuple):
    """An engine shall serve a model in a version."""

    engine: str
    model: str
    version: str
