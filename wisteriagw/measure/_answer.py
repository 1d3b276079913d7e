"""What came of an offer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.measure._offer import Offer


class Answer:
    """Progress of the answer to an offer, over all attempts at it."""

    __slots__ = (
        "offer",
        "first_at",
        "last_at",
        "ended_at",
        "tokens",
        "runs",
        "cut",
        "refused",
        "failed",
        "attempt",
        "excluded",
    )

    def __init__(self, offer: Offer) -> None:
        self.offer = offer
        self.first_at: float | None = None
        self.last_at = 0.0
        self.ended_at: float | None = None
        self.tokens = 0
        self.runs = 0
        self.cut = False
        self.refused = ""
        self.failed = False
        self.attempt = 0
        self.excluded: tuple[str, ...] = ()
