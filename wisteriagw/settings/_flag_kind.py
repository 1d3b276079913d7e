"""Kind of a setting: flag."""

from __future__ import annotations

from typing import NamedTuple


class FlagKind(NamedTuple):
    """A switch that is on or off."""
