"""Step of a usage reporter: close windows."""

from __future__ import annotations

from typing import NamedTuple


class SealWindows(NamedTuple):
    """Append a seal for every window up to ``window``."""

    window: int
