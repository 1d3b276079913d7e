"""Order: an engine loads a version of its model."""

from __future__ import annotations

from typing import NamedTuple


class LoadVersion(NamedTuple):
    """An engine shall serve another version of the model that it has."""

    engine: str
    version: str
