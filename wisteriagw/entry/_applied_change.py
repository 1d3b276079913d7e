"""Effect of a record of the configuration stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from wisteriagw.config import Refusal


class AppliedChange(NamedTuple):
    """The offset of a record, and its refusal, None if the record has an effect."""

    offset: int
    refusal: Refusal | None
