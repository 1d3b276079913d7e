"""An indirect probe."""

from __future__ import annotations

from typing import NamedTuple


class Probe(NamedTuple):
    """A peer to ask whether it receives heartbeats of a suspected VM."""

    peer: str
    target: str
