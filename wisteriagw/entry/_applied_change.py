"""What a record of the configuration stream did."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.config import Refusal


class AppliedChange(NamedTuple):
    """The offset of a record, and why it has no effect (None if it has one)."""

    offset: int
    refusal: Refusal | None
