"""What a process does next about the authority."""

from __future__ import annotations

from enum import Enum


class Turn(Enum):
    """Next step of a process."""

    WAIT = "wait"
    CLAIM = "claim"
    RENEW = "renew"
