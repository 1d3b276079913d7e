"""Model row of a sheet."""

from __future__ import annotations

from typing import TypedDict


class ModelRow(TypedDict):
    """A model version with the adapters that may be used with it."""

    name: str
    version: str
    adapters: list[str]
