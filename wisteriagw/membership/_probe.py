"""An indirect probe."""

from __future__ import annotations

from typing import NamedTuple


class Probe(NamedTuple):
    """A peer that is asked whether it hears from a silent VM."""

    peer: str
    target: str
