"""Status of a VM."""

from __future__ import annotations

from enum import Enum


class VmStatus(Enum):
    """Status of a VM as another VM sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
