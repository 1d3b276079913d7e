"""Next step of a process in acquiring or keeping the authority."""

from __future__ import annotations

from enum import Enum


class AuthorityStep(Enum):
    """Next step in acquiring or keeping the authority."""

    WAIT = "wait"
    CLAIM = "claim"
    RENEW = "renew"
