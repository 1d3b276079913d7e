"""Outcome of a change that has no effect."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.config import Refusal


@dataclass(frozen=True, slots=True)
class ChangeRefused:
    """The change conflicts with the configuration."""

    refusal: Refusal
