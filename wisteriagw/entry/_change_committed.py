"""Outcome of a change that is in the log and has an effect."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from wisteriagw.config import Acceptance


@dataclass(frozen=True, slots=True)
class ChangeCommitted:
    """The change got a revision; other VMs may not have confirmed it yet.

    ``answer`` holds further fields for the operator, such as a new key.
    """

    revision: int
    acceptance: Acceptance
    answer: dict[str, Any]
