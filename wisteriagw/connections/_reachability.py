"""Result of opening a connection to an address."""

from __future__ import annotations

from enum import Enum


class Reachability(Enum):
    """Whether a server accepts connections, and how it failed to."""

    OPEN = "accepts connections"
    REFUSED = "refuses connections"
    SILENT = "does not respond"
