"""Row of a sheet: model."""

from __future__ import annotations

from typing import TypedDict


class ModelRow(TypedDict):
    """A model in one version with the adapters that may be used on it."""

    name: str
    version: str
    adapters: list[str]
