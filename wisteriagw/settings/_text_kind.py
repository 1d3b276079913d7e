"""Kind of a setting: text."""

from __future__ import annotations

from typing import NamedTuple


class TextKind(NamedTuple):
    """A non-empty string."""
