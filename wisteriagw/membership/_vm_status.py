"""Status of a VM."""

from __future__ import annotations

from enum import Enum


class VmStatus(Enum):
    """How a VM looks from another one."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    FAILED = "failed"
