"""Address of a peer."""

from __future__ import annotations

from typing import NamedTuple


class PeerAddress(NamedTuple):
    """Name, IP address and mesh port of a peer."""

    vm: str
    host: str
    port: int
