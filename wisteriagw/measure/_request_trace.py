"""Course of an offered request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from wisteriagw.measure._offered_request import OfferedRequest


class RequestTrace:
    """Progress and result of an offered request over all its attempts."""

    __slots__ = (
        "request",
        "first_token_at",
        "last_at",
        "ended_at",
        "tokens",
        "runs",
        "interrupted",
        "refusal_code",
        "failed",
        "attempt",
        "excluded",
    )

    def __init__(self, request: OfferedRequest) -> None:
        self.request = request
        self.first_token_at: float | None = None
        self.last_at = 0.0
        self.ended_at: float | None = None
        self.tokens = 0
        self.runs = 0
        self.interrupted = False
        self.refusal_code = ""
        self.failed = False
        self.attempt = 0
        self.excluded: tuple[str, ...] = ()
