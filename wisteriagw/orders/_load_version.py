"""Order: an engine loads a version of its model."""

from __future__ import annotations

from typing import NamedTuple


class LoadVersion(NamedTuple):
    """Loads another version of the model that an engine serves."""

    engine: str
    version: str
