"""Decision on a claim: another claim is the first."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.records import CallFinished


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Another claim is the first; ``finished`` is its result if it is known."""

    finished: CallFinished | None
